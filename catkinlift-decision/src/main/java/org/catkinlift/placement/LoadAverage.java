package org.catkinlift.placement;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Averages the load of each slot over time with exponentially falling weights.
 *
 * <p>Control thread only.
 */
public final class LoadAverage {
  /** The time after which a report counts half. */
  public static final Duration HALF_LIFE = Duration.ofSeconds(30);

  private final Map<Integer, Average> averages = new HashMap<>();

  private record Average(double value, long atNanos) {}

  /** Creates an average without any report. */
  public LoadAverage() {}

  /**
   * Adds a report. The first report of a slot counts in full.
   *
   * @param slot the slot index or the number of an override
   * @param load the work per second
   * @param nowNanos the time of the report
   */
  public void add(int slot, double load, long nowNanos) {
    Average before = averages.get(slot);
    averages.put(slot, before == null ? new Average(load, nowNanos) : next(before, load, nowNanos));
  }

  private static Average next(Average before, double load, long nowNanos) {
    double halfLives = (double) (nowNanos - before.atNanos) / HALF_LIFE.toNanos();
    double keep = Math.pow(0.5, halfLives);
    return new Average(before.value * keep + load * (1 - keep), nowNanos);
  }

  /**
   * Returns the averages.
   *
   * @return the work per second by slot index or number of an override
   */
  public ImmutableMap<Integer, Double> values() {
    return averages.entrySet().stream()
        .collect(toImmutableMap(Map.Entry::getKey, e -> e.getValue().value));
  }
}
