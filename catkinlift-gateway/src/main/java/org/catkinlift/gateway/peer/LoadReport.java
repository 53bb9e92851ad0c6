package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * What a daemon tells the coordinator about the traffic since its last report.
 *
 * @param host the daemon's host
 * @param cpuCapacity the processor time of the daemon's host, in cores
 * @param observedVersions up to which version the daemon has seen the store's news
 * @param keyWork the work that arrived, one entry a request
 * @param workTimes how long upstreams worked
 */
public record LoadReport(
    HostId host,
    double cpuCapacity,
    ObservedVersions observedVersions,
    ImmutableList<KeyWork> keyWork,
    ImmutableMap<UpstreamId, WorkTimes> workTimes) {

  /**
   * Returns this report with more traffic.
   *
   * @param newVersions up to which version the daemon has seen the store's news by now
   * @param newWork the work that arrived since
   * @param newTimes how long upstreams worked since
   * @return the report
   */
  public LoadReport withTraffic(
      ObservedVersions newVersions,
      ImmutableList<KeyWork> newWork,
      ImmutableMap<UpstreamId, WorkTimes> newTimes) {
    Map<UpstreamId, WorkTimes> mergedTimes = new HashMap<>(workTimes);
    newTimes.forEach((upstream, times) -> mergedTimes.merge(upstream, times, WorkTimes::plus));
    return new LoadReport(
        host,
        cpuCapacity,
        newVersions,
        ImmutableList.<KeyWork>builder().addAll(keyWork).addAll(newWork).build(),
        ImmutableMap.copyOf(mergedTimes));
  }

  /**
   * The work of one request.
   *
   * @param service the service
   * @param key the key
   * @param priority its rank; 0 is the highest
   * @param expectedSeconds how long an upstream of usual speed works on it
   */
  public record KeyWork(ServiceName service, int key, int priority, double expectedSeconds) {}

  /**
   * Measured and usual time of the requests that an upstream answered.
   *
   * @param measuredSeconds the time that it took
   * @param expectedSeconds the time that an upstream of usual speed takes
   */
  public record WorkTimes(double measuredSeconds, double expectedSeconds) {

    /**
     * Adds other times.
     *
     * @param other the other times
     * @return the sum
     */
    public WorkTimes plus(WorkTimes other) {
      return new WorkTimes(
          measuredSeconds + other.measuredSeconds, expectedSeconds + other.expectedSeconds);
    }
  }
}
