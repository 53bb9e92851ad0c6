package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.gateway.store.NewsVersions;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * What a daemon tells the coordinator about the traffic since its last report.
 *
 * @param host the daemon's host
 * @param processor the processor time of the daemon's host, in cores
 * @param news up to which version the daemon has seen the store's news
 * @param work the work that arrived, one entry a request
 * @param speeds how long upstreams worked
 */
public record LoadReport(
    HostId host,
    double processor,
    NewsVersions news,
    ImmutableList<KeyWork> work,
    ImmutableMap<UpstreamId, WorkTimes> speeds) {

  /**
   * Returns this report with more traffic.
   *
   * @param seen up to which version the daemon has seen the store's news by now
   * @param moreWork the work that arrived since
   * @param moreSpeeds how long upstreams worked since
   * @return the report
   */
  public LoadReport withTraffic(
      NewsVersions seen,
      ImmutableList<KeyWork> moreWork,
      ImmutableMap<UpstreamId, WorkTimes> moreSpeeds) {
    Map<UpstreamId, WorkTimes> allSpeeds = new HashMap<>(speeds);
    moreSpeeds.forEach((upstream, times) -> allSpeeds.merge(upstream, times, WorkTimes::plus));
    return new LoadReport(
        host,
        processor,
        seen,
        ImmutableList.<KeyWork>builder().addAll(work).addAll(moreWork).build(),
        ImmutableMap.copyOf(allSpeeds));
  }

  /**
   * The work of one request.
   *
   * @param service the service
   * @param key the key
   * @param priority its rank; 0 is the highest
   * @param seconds how long an upstream of usual speed works on it
   */
  public record KeyWork(ServiceName service, int key, int priority, double seconds) {}

  /**
   * Measured and usual time of the requests that an upstream answered.
   *
   * @param measuredSeconds the time that it took
   * @param usualSeconds the time that an upstream of usual speed takes
   */
  public record WorkTimes(double measuredSeconds, double usualSeconds) {

    /**
     * Adds other times.
     *
     * @param other the other times
     * @return the sum
     */
    public WorkTimes plus(WorkTimes other) {
      return new WorkTimes(
          measuredSeconds + other.measuredSeconds, usualSeconds + other.usualSeconds);
    }
  }
}
