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
public final class AdmissionShareRule {
  /** Share of its capacity above which an upstream has more work than it bears. */
  private static final double OVERLOAD_UTILIZATION = 0.95;

  /** Share of its capacity that an overloaded upstream is filled to, so that waits stay short. */
  private static final double TARGET_UTILIZATION = 0.75;

  /** Part of the capacity that each rank gets before higher ranks get the rest. */
  private static final double RESERVED_SHARE_PER_PRIORITY = 0.1;

  private AdmissionShareRule() {}

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
    if (total <= capacity * OVERLOAD_UTILIZATION) {
      return ImmutableSortedMap.of();
    }
    double targetLoad = capacity * TARGET_UTILIZATION;
    double reserved = capacity * RESERVED_SHARE_PER_PRIORITY;
    double unreserved =
        targetLoad - demand.values().stream().mapToDouble(d -> Math.min(d, reserved)).sum();
    ImmutableSortedMap.Builder<Integer, Double> shares = ImmutableSortedMap.naturalOrder();
    for (Map.Entry<Integer, Double> entry : demand.entrySet()) {
      double slots = entry.getValue();
      double extra = Math.min(Math.max(0, unreserved), Math.max(0, slots - reserved));
      unreserved -= extra;
      shares.put(entry.getKey(), Math.min(1, (Math.min(slots, reserved) + extra) / slots));
    }
    return shares.buildOrThrow();
  }
}
