package org.catkinlift.admission;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.SortedMap;

/**
 * Decides which share of its requests an upstream can take that has more work than it bears.
 *
 * <p>Load pattern: one busy key whose requests arrive at many daemons, each of which sees too few
 * of them to notice that together they are too many. The queue of the upstream would fill, and
 * every request would be late or be turned away there. Higher ranks go first; every rank keeps a
 * part, so that none is starved.
 */
public final class ShareRule {
  /** Share of its capacity that an upstream is filled to; above it, waits grow fast. */
  private static final double FILLED = 0.95;

  /** Part of the capacity that each rank gets before higher ranks get the rest. */
  private static final double KEPT_FOR_EACH_RANK = 0.1;

  private ShareRule() {}

  /**
   * Returns the share of the requests of each rank that are to be admitted.
   *
   * @param demand busy slots by rank
   * @param capacity the slots of the upstream, in slots of usual speed
   * @return the share by rank, 0 to 1; empty if all requests can be admitted
   */
  public static ImmutableSortedMap<Integer, Double> shares(
      SortedMap<Integer, Double> demand, double capacity) {
    double total = demand.values().stream().mapToDouble(d -> d).sum();
    double room = capacity * FILLED;
    if (total <= room) {
      return ImmutableSortedMap.of();
    }
    double kept = capacity * KEPT_FOR_EACH_RANK;
    double left = room - demand.values().stream().mapToDouble(d -> Math.min(d, kept)).sum();
    ImmutableSortedMap.Builder<Integer, Double> shares = ImmutableSortedMap.naturalOrder();
    for (Map.Entry<Integer, Double> rank : demand.entrySet()) {
      double slots = rank.getValue();
      double more = Math.min(Math.max(0, left), Math.max(0, slots - kept));
      left -= more;
      shares.put(rank.getKey(), Math.min(1, (Math.min(slots, kept) + more) / slots));
    }
    return shares.buildOrThrow();
  }
}
