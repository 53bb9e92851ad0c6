package org.catkinlift.ranges;

import java.time.Duration;

/**
 * Measures the work that each key causes, with older work counting less. Confined to one thread.
 *
 * <p>The unit is busy slots: seconds of work per second.
 */
public final class KeyLoad {
  /** Part of the load that is spread evenly, so that a range without recent work is not free. */
  private static final double UNIFORM_SHARE = 0.1;

  /** Work of a shorter time says too little about the rate. */
  private static final double MIN_AGE_SECONDS = 0.5;

  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private final double timeConstantSeconds;
  private final double[] work = new double[KeyRange.KEY_COUNT];
  private final double[] cumulative = new double[KeyRange.KEY_COUNT + 1];
  private double total;
  private final long createdAtNanos;
  private long decayedAtNanos;
  private boolean cumulativeValid;

  /**
   * Creates a measurement without work.
   *
   * @param timeConstant the mean age of the work that counts
   * @param nowNanos the time
   */
  public KeyLoad(Duration timeConstant, long nowNanos) {
    this.timeConstantSeconds = timeConstant.toNanos() / SECOND_NANOS;
    this.createdAtNanos = nowNanos;
    this.decayedAtNanos = nowNanos;
  }

  /**
   * Adds the work of one request.
   *
   * @param key the key
   * @param seconds how long an upstream works on it
   */
  public void add(int key, double seconds) {
    work[key] += seconds / timeConstantSeconds;
    cumulativeValid = false;
  }

  /**
   * Ages the work that was added so far.
   *
   * @param nowNanos the time
   */
  public void decay(long nowNanos) {
    double factor = Math.exp(-(nowNanos - decayedAtNanos) / SECOND_NANOS / timeConstantSeconds);
    decayedAtNanos = nowNanos;
    for (int i = 0; i < work.length; i++) {
      work[i] *= factor;
    }
    cumulativeValid = false;
  }

  /**
   * Returns the work of a range.
   *
   * @param range the keys
   * @return busy slots
   */
  public double of(KeyRange range) {
    updateCumulative();
    return cumulative[range.last() + 1] - cumulative[range.first()];
  }

  /**
   * Returns the work of all keys.
   *
   * @return busy slots
   */
  public double total() {
    updateCumulative();
    return total;
  }

  /**
   * Finds the longest run of keys at the start of a range whose work does not exceed a limit.
   *
   * @param range the keys
   * @param limit busy slots
   * @return the number of keys, 0 if the first one exceeds the limit
   */
  int keysFromStart(KeyRange range, double limit) {
    updateCumulative();
    int count = 0;
    while (count < range.size()
        && cumulative[range.first() + count + 1] - cumulative[range.first()] <= limit) {
      count++;
    }
    return count;
  }

  /**
   * Finds the longest run of keys at the end of a range whose work does not exceed a limit.
   *
   * @param range the keys
   * @param limit busy slots
   * @return the number of keys, 0 if the last one exceeds the limit
   */
  int keysFromEnd(KeyRange range, double limit) {
    updateCumulative();
    int count = 0;
    while (count < range.size()
        && cumulative[range.last() + 1] - cumulative[range.last() - count] <= limit) {
      count++;
    }
    return count;
  }

  /** Returns the key of a range that causes most work. */
  int busiestKey(KeyRange range) {
    int busiest = range.first();
    for (int key = range.first(); key <= range.last(); key++) {
      if (work[key] > work[busiest]) {
        busiest = key;
      }
    }
    return busiest;
  }

  /** Share of its full weight that steady work has reached, less than 1 soon after the start. */
  private double biasCorrection() {
    double age = (decayedAtNanos - createdAtNanos) / SECOND_NANOS;
    return 1 - Math.exp(-Math.max(age, MIN_AGE_SECONDS) / timeConstantSeconds);
  }

  private void updateCumulative() {
    if (cumulativeValid) {
      return;
    }
    double correction = biasCorrection();
    double sum = 0;
    for (double w : work) {
      sum += w / correction;
    }
    // Without any work all keys count the same.
    double uniform = sum > 0 ? sum * UNIFORM_SHARE / work.length : 1.0 / work.length;
    for (int i = 0; i < work.length; i++) {
      cumulative[i + 1] = cumulative[i] + work[i] / correction + uniform;
    }
    total = cumulative[work.length];
    cumulativeValid = true;
  }
}
