package org.catkinlift.placement;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps an exponentially weighted moving average of the load of each slot.
 *
 * <p>Confined to the control thread.
 */
public final class LoadAverage {
  /** The time after which the weight of a report has halved. */
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
   * Adds a report. The first report of a slot gets full weight.
   *
   * @param slot the slot index or the number of an override
   * @param load the work per second
   * @param nowNanos the time of the report
   */
  public void add(int slot, double load, long nowNanos) {
    Average previous = averages.get(slot);
    averages.put(
        slot,
        previous == null ? new Average(load, 0, 1, nowNanos) : next(previous, load, nowNanos));
  }

  /**
   * Returns whether a slot has an average, because it was reported.
   *
   * @param slot the slot index or the number of an override
   */
  public boolean isKnown(int slot) {
    return averages.containsKey(slot);
  }

  /**
   * Removes the average of a slot.
   *
   * @param slot the slot index or the number of an override
   */
  public void remove(int slot) {
    averages.remove(slot);
  }

  private static Average next(Average previous, double load, long nowNanos) {
    double halfLives = (double) (nowNanos - previous.atNanos) / HALF_LIFE.toNanos();
    double decay = Math.pow(0.5, halfLives);
    double difference = load - previous.value;
    return new Average(
        previous.value + difference * (1 - decay),
        decay * (previous.variance + (1 - decay) * difference * difference),
        decay * decay * previous.weightSquares + (1 - decay) * (1 - decay),
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
   * Returns the uncertainty of the averages that is due to the variance of the reports.
   *
   * @return the squared standard error of the average by slot index or number of an override
   */
  public ImmutableMap<Integer, Double> squaredErrors() {
    return averages.entrySet().stream()
        .collect(toImmutableMap(Map.Entry::getKey, e -> e.getValue().squaredError()));
  }
}
