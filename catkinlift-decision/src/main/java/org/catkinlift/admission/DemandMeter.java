package org.catkinlift.admission;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.catkinlift.model.UpstreamId;

/**
 * Measures the demand of all daemons for each upstream by priority, as an exponentially weighted
 * moving average. Confined to one thread.
 *
 * <p>Demand is expressed in busy slots: seconds of service time per second.
 */
public final class DemandMeter {
  /** Short, because a key may become hot within a second. */
  private static final Duration TIME_CONSTANT = Duration.ofMillis(600);

  private static final double TIME_CONSTANT_SECONDS = TIME_CONSTANT.toMillis() / 1_000.0;
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  /** Demand below this is discarded. */
  private static final double NEGLIGIBLE_SLOTS = 0.01;

  private final Map<UpstreamId, TreeMap<Integer, Double>> demand = new HashMap<>();
  private long decayedAtNanos;

  /**
   * Creates a measurement without demand.
   *
   * @param nowNanos the current time
   */
  public DemandMeter(long nowNanos) {
    this.decayedAtNanos = nowNanos;
  }

  /**
   * Adds the service time of one request.
   *
   * @param upstream the upstream that holds the key of the request
   * @param priority the priority of the request; 0 is the highest
   * @param seconds the service time at an upstream of normal speed
   */
  public void add(UpstreamId upstream, int priority, double seconds) {
    demand
        .computeIfAbsent(upstream, u -> new TreeMap<>())
        .merge(priority, seconds / TIME_CONSTANT_SECONDS, Double::sum);
  }

  /**
   * Decays the demand measured so far.
   *
   * @param nowNanos the current time
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
   * Returns the demand for one upstream.
   *
   * @param upstream the upstream
   * @return busy slots by priority, the highest priority first
   */
  public ImmutableSortedMap<Integer, Double> of(UpstreamId upstream) {
    TreeMap<Integer, Double> byPriority = demand.get(upstream);
    return byPriority == null ? ImmutableSortedMap.of() : ImmutableSortedMap.copyOf(byPriority);
  }
}
