package org.catkinlift.admission;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.catkinlift.model.UpstreamId;

/**
 * Measures the work that all daemons have for each upstream, by rank, with older work counting
 * less. Confined to one thread.
 *
 * <p>The unit is busy slots: seconds of work per second.
 */
public final class DemandMeter {
  /** Short, because a key may become busy within a second. */
  private static final Duration TIME_CONSTANT = Duration.ofMillis(600);

  private static final double TIME_CONSTANT_SECONDS = TIME_CONSTANT.toMillis() / 1_000.0;
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  /** Less than this is forgotten. */
  private static final double NEGLIGIBLE_SLOTS = 0.01;

  private final Map<UpstreamId, TreeMap<Integer, Double>> demand = new HashMap<>();
  private long decayedAtNanos;

  /**
   * Creates a measurement without work.
   *
   * @param nowNanos the time
   */
  public DemandMeter(long nowNanos) {
    this.decayedAtNanos = nowNanos;
  }

  /**
   * Adds the work of one request.
   *
   * @param upstream the upstream that holds its key
   * @param priority its rank; 0 is the highest
   * @param seconds how long an upstream of usual speed works on it
   */
  public void add(UpstreamId upstream, int priority, double seconds) {
    demand
        .computeIfAbsent(upstream, u -> new TreeMap<>())
        .merge(priority, seconds / TIME_CONSTANT_SECONDS, Double::sum);
  }

  /**
   * Ages the work that was added so far.
   *
   * @param nowNanos the time
   */
  public void decay(long nowNanos) {
    double factor = Math.exp(-(nowNanos - decayedAtNanos) / SECOND_NANOS / TIME_CONSTANT_SECONDS);
    decayedAtNanos = nowNanos;
    for (TreeMap<Integer, Double> byPriority : demand.values()) {
      byPriority.replaceAll((priority, slots) -> slots * factor);
      byPriority.values().removeIf(slots -> slots < NEGLIGIBLE_SLOTS);
    }
    demand.values().removeIf(TreeMap::isEmpty);
  }

  /**
   * Returns the work for one upstream.
   *
   * @param upstream the upstream
   * @return busy slots by rank, the highest rank first
   */
  public ImmutableSortedMap<Integer, Double> of(UpstreamId upstream) {
    TreeMap<Integer, Double> byPriority = demand.get(upstream);
    return byPriority == null ? ImmutableSortedMap.of() : ImmutableSortedMap.copyOf(byPriority);
  }
}
