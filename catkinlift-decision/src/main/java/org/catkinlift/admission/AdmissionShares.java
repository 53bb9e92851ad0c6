package org.catkinlift.admission;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import org.catkinlift.model.UpstreamId;

/**
 * The shares of requests that overloaded upstreams can take, as the coordinator computed them from
 * the reports of all daemons.
 *
 * @param byUpstream the share by rank, for each overloaded upstream
 */
public record AdmissionShares(
    ImmutableMap<UpstreamId, ImmutableSortedMap<Integer, Double>> byUpstream) {
  /** Admits everything. */
  public static final AdmissionShares ADMIT_ALL = new AdmissionShares(ImmutableMap.of());

  private static final double FULL_SHARE = 1;

  /**
   * Decides about one request.
   *
   * @param upstream the upstream that it needs
   * @param priority its rank
   * @param random a random number from 0 to 1
   * @return false if the request is among those that the upstream cannot take
   */
  public boolean admits(UpstreamId upstream, int priority, double random) {
    return random < share(upstream, priority);
  }

  /**
   * Returns the share of the requests of a rank that an upstream can take. A rank that the
   * coordinator has not seen gets the share of the next lower one.
   *
   * @param upstream the upstream
   * @param priority the rank
   * @return 0 to 1
   */
  public double share(UpstreamId upstream, int priority) {
    ImmutableSortedMap<Integer, Double> sharesByPriority = byUpstream.get(upstream);
    if (sharesByPriority == null) {
      return FULL_SHARE;
    }
    Map.Entry<Integer, Double> entry = sharesByPriority.ceilingEntry(priority);
    return entry == null ? sharesByPriority.lastEntry().getValue() : entry.getValue();
  }
}
