package org.catkinlift.admission;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.SortedMap;

/**
 * Decides which share of its requests an overloaded upstream can take.
 *
 * <p>Load pattern: one hot key whose requests arrive at many daemons, each of which sees too few of
 * them to detect the overload. Without shares, the queue of the upstream would fill, and every
 * request would be late or be rejected there. Higher priorities are served first; every priority
 * keeps a part of the capacity, so that none is starved.
 */
public final class AdmissionSharePolicy {
  /** Utilization above which an upstream counts as overloaded. */
  private static final double OVERLOAD_UTILIZATION = 0.95;

  /**
   * Utilization up to which requests are admitted to an overloaded upstream, so that waits stay
   * short.
   */
  private static final double TARGET_UTILIZATION = 0.75;

  /**
   * Share of the capacity that is reserved for each priority; the rest goes to higher priorities
   * first.
   */
  private static final double RESERVED_SHARE_PER_PRIORITY = 0.1;

  private AdmissionSharePolicy() {}

  /**
   * Returns the share of requests of each priority that is to be admitted.
   *
   * @param demand the demand in busy slots by priority
   * @param capacity the slots that the upstream has for them, in slots of normal speed
   * @return the share by priority, 0 to 1; empty if all requests can be admitted
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
