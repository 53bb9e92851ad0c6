package org.catkinlift.ranges;

import java.time.Duration;

/**
 * Measures the load that each key causes as an exponentially weighted moving average. Confined to
 * one thread.
 *
 * <p>Load is expressed in busy slots: seconds of service time per second.
 */
public final class KeyLoad {
  /**
   * Share of the total load that is spread evenly over all keys, so that a range without recent
   * requests is not considered free.
   */
  private static final double UNIFORM_SHARE = 0.1;

  /**
   * Minimum age assumed for the bias correction; a shorter measurement says too little about the
   * rate.
   */
  private static final double MIN_AGE_SECONDS = 0.5;

  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private final double timeConstantSeconds;
  private final double[] uncorrectedLoad = new double[KeyRange.KEY_COUNT];
  private final double[] cumulative = new double[KeyRange.KEY_COUNT + 1];
  private double total;
  private final long createdAtNanos;
  private long decayedAtNanos;
  private boolean cumulativeValid;

  /**
   * Creates a measurement without load.
   *
   * @param timeConstant the time constant of the exponential decay
   * @param nowNanos the current time
   */
  public KeyLoad(Duration timeConstant, long nowNanos) {
    this.timeConstantSeconds = timeConstant.toNanos() / SECOND_NANOS;
    this.createdAtNanos = nowNanos;
    this.decayedAtNanos = nowNanos;
  }

  /**
   * Adds the service time of one request.
   *
   * @param key the key of the request
   * @param seconds the expected service time
   */
  public void add(int key, double seconds) {
    uncorrectedLoad[key] += seconds / timeConstantSeconds;
    cumulativeValid = false;
  }

  /**
   * Decays the load measured so far.
   *
   * @param nowNanos the current time
   */
  public void decay(long nowNanos) {
    double factor = Math.exp(-(nowNanos - decayedAtNanos) / SECOND_NANOS / timeConstantSeconds);
    decayedAtNanos = nowNanos;
    for (int i = 0; i < uncorrectedLoad.length; i++) {
      uncorrectedLoad[i] *= factor;
    }
    cumulativeValid = false;
  }

  /** Returns the load of a range, in busy slots. */
  public double of(KeyRange range) {
    updateCumulative();
    return cumulative[range.last() + 1] - cumulative[range.first()];
  }

  /** Returns the load of all keys, in busy slots. */
  public double total() {
    updateCumulative();
    return total;
  }

  /**
   * Finds the longest run of keys at the start of a range whose load does not exceed a limit.
   *
   * @param range the range to search
   * @param limit the limit in busy slots
   * @return the number of keys; 0 if the first one already exceeds the limit
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
   * Finds the longest run of keys at the end of a range whose load does not exceed a limit.
   *
   * @param range the range to search
   * @param limit the limit in busy slots
   * @return the number of keys; 0 if the last one already exceeds the limit
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

  /** Returns the key with the highest load in a range. */
  int busiestKey(KeyRange range) {
    int busiest = range.first();
    for (int key = range.first(); key <= range.last(); key++) {
      if (uncorrectedLoad[key] > uncorrectedLoad[busiest]) {
        busiest = key;
      }
    }
    return busiest;
  }

  /**
   * Returns the fraction of its true value that the average of a constant load has reached; less
   * than 1 soon after the start.
   */
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
    for (double w : uncorrectedLoad) {
      sum += w / correction;
    }
    // Without any load, all keys have equal weight.
    double uniform =
        sum > 0 ? sum * UNIFORM_SHARE / uncorrectedLoad.length : 1.0 / uncorrectedLoad.length;
    for (int i = 0; i < uncorrectedLoad.length; i++) {
      cumulative[i + 1] = cumulative[i] + uncorrectedLoad[i] / correction + uniform;
    }
    total = cumulative[uncorrectedLoad.length];
    cumulativeValid = true;
  }
}
