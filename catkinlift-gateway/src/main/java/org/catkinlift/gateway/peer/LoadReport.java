package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.TenantName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.shares.ShareReport;

/**
 * A daemon's report to the coordinator of the traffic since its last report.
 *
 * @param host the daemon's host
 * @param cpuCapacity the CPU capacity of the daemon's host, in cores
 * @param observedVersions the versions of the store that the daemon has observed
 * @param keyWork the requests for keyed services, one entry for each request
 * @param workTimes the service times of upstreams
 * @param quotas the demand and the shares of the quotas of tenants
 */
public record LoadReport(
    HostId host,
    double cpuCapacity,
    ObservedVersions observedVersions,
    ImmutableList<KeyWork> keyWork,
    ImmutableMap<UpstreamId, WorkTimes> workTimes,
    ShareReport<TenantName> quotas) {

  /**
   * Creates a report of a daemon without shares of quotas.
   *
   * @param host the daemon's host
   * @param cpuCapacity the CPU capacity of the daemon's host, in cores
   * @param observedVersions the versions of the store that the daemon has observed
   * @param keyWork the requests for keyed services, one entry for each request
   * @param workTimes the service times of upstreams
   */
  public LoadReport(
      HostId host,
      double cpuCapacity,
      ObservedVersions observedVersions,
      ImmutableList<KeyWork> keyWork,
      ImmutableMap<UpstreamId, WorkTimes> workTimes) {
    this(host, cpuCapacity, observedVersions, keyWork, workTimes, ShareReport.empty());
  }

  /**
   * Returns a copy of this report with what it states about quotas.
   *
   * @param newQuotas the demand and the shares of quotas
   * @return the report
   */
  public LoadReport withQuotas(ShareReport<TenantName> newQuotas) {
    return new LoadReport(host, cpuCapacity, observedVersions, keyWork, workTimes, newQuotas);
  }

  /**
   * Returns a copy of this report with more traffic.
   *
   * @param newVersions the versions of the store that the daemon has observed by now
   * @param newWork the requests to add
   * @param newTimes the service times to add
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
        ImmutableMap.copyOf(mergedTimes),
        quotas);
  }

  /**
   * The expected work of one request for a key.
   *
   * @param service the service
   * @param key the key
   * @param priority the class of the request in {@link AdmissionShares}; 0 is the highest
   * @param expectedSeconds the service time at an upstream of normal speed
   */
  public record KeyWork(ServiceName service, int key, int priority, double expectedSeconds) {
    /**
     * Checks the key and the time.
     *
     * @throws IllegalArgumentException if the key does not exist or the time is negative
     */
    public KeyWork {
      if (key < 0 || key >= KeyRange.KEY_COUNT || !(expectedSeconds >= 0)) {
        throw new IllegalArgumentException("invalid work of key " + key + ": " + expectedSeconds);
      }
    }
  }

  /**
   * The total measured and expected service times of the requests that an upstream answered.
   *
   * @param measuredSeconds the measured service time
   * @param expectedSeconds the service time at an upstream of normal speed
   */
  public record WorkTimes(double measuredSeconds, double expectedSeconds) {

    /**
     * Returns the sum of these and other times.
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
