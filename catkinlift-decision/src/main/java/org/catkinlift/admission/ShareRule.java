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
  /** Share of its capacity above which an upstream has more work than it bears. */
  private static final double OVERLOADED = 0.95;

  /** Share of its capacity that an overloaded upstream is filled to, so that waits stay short. */
  private static final double FILLED = 0.75;

  /** Part of the capacity that each rank gets before higher ranks get the rest. */
  private static final double KEPT_FOR_EACH_RANK = 0.1;

  private ShareRule() {}

  /**
   * Returns the share of the requests of each rank that are to be admitted.
   *
   * @param demand busy slots by rank
   * @param capacity the slots that the upstream has for them, in slots of usual speed
   * @return the share by rank, 0 to 1; empty if all requests can be admitted
   */
  public static ImmutableSortedMap<Integer, Double> shares(
      SortedMap<Integer, Double> demand, double capacity) {
    double total = demand.values().stream().mapToDouble(d -> d).sum();
    if (total <= capacity * OVERLOADED) {
      return ImmutableSortedMap.of();
    }
    double room = capacity * FILLED;
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
