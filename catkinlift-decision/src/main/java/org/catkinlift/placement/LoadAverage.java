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

  /**
   * The state of one slot.
   *
   * @param value the average
   * @param variance the variance of the reports around the average
   * @param weightSquares the sum of the squared weights of the reports in the average
   * @param atNanos the time of the latest report
   */
  private record Average(double value, double variance, double weightSquares, long atNanos) {
    double squaredError() {
      return variance * weightSquares;
    }
  }

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
    averages.put(
        slot, before == null ? new Average(load, 0, 1, nowNanos) : next(before, load, nowNanos));
  }

  /**
   * Tells whether a slot was reported.
   *
   * @param slot the slot index or the number of an override
   * @return true if it has an average
   */
  public boolean isKnown(int slot) {
    return averages.containsKey(slot);
  }

  /**
   * Removes a slot.
   *
   * @param slot the slot index or the number of an override
   */
  public void remove(int slot) {
    averages.remove(slot);
  }

  private static Average next(Average before, double load, long nowNanos) {
    double halfLives = (double) (nowNanos - before.atNanos) / HALF_LIFE.toNanos();
    double keep = Math.pow(0.5, halfLives);
    double distance = load - before.value;
    return new Average(
        before.value + distance * (1 - keep),
        keep * (before.variance + (1 - keep) * distance * distance),
        keep * keep * before.weightSquares + (1 - keep) * (1 - keep),
        nowNanos);
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

  /**
   * Returns how far the averages may be off because the reports vary.
   *
   * @return the squared standard error of the average by slot index or number of an override
   */
  public ImmutableMap<Integer, Double> squaredErrors() {
    return averages.entrySet().stream()
        .collect(toImmutableMap(Map.Entry::getKey, e -> e.getValue().squaredError()));
  }
}
