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
  public static final AdmissionShares ALL = new AdmissionShares(ImmutableMap.of());

  private static final double WHOLE = 1;

  /**
   * Decides about one request.
   *
   * @param upstream the upstream that it needs
   * @param priority its rank
   * @param chance a random number from 0 to 1
   * @return false if the request is among those that the upstream cannot take
   */
  public boolean admits(UpstreamId upstream, int priority, double chance) {
    return chance < share(upstream, priority);
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
    ImmutableSortedMap<Integer, Double> ranks = byUpstream.get(upstream);
    if (ranks == null) {
      return WHOLE;
    }
    Map.Entry<Integer, Double> rank = ranks.ceilingEntry(priority);
    return rank == null ? ranks.lastEntry().getValue() : rank.getValue();
  }
}
