package org.catkinlift.limits;

import java.time.Duration;

/**
 * Computes exponentially decayed rates without updating old entries as time passes.
 *
 * <p>Instead of lowering the weight of old events, it raises the weight of new ones; a rate is a
 * sum of weights divided by the current weight. Before the weights exceed the range of a double,
 * all sums must be multiplied by the factor that {@link #rescale} returns. Confined to one thread.
 */
final class ForwardDecay {
  private static final double HALF_LIFE_NANOS = Duration.ofSeconds(30).toNanos();

  /**
   * The current weight is at most 2 to this power, so that sums of weights stay within the range of
   * a double.
   */
  private static final double MAX_EXPONENT = 100;

  /** The decayed sum of a steady rate of 1/s. */
  private static final double SUM_PER_RATE =
      HALF_LIFE_NANOS / Duration.ofSeconds(1).toNanos() / Math.log(2);

  private long landmarkNanos;

  ForwardDecay(long nowNanos) {
    this.landmarkNanos = nowNanos;
  }

  double weight(long nowNanos) {
    return Math.pow(2, exponent(nowNanos));
  }

  double ratePerSecond(double sum, long nowNanos) {
    return sum / weight(nowNanos) / SUM_PER_RATE;
  }

  boolean needsRescale(long nowNanos) {
    return exponent(nowNanos) > MAX_EXPONENT;
  }

  /** Resets the weight to 1 and returns the factor by which all sums must be multiplied. */
  double rescale(long nowNanos) {
    double factor = 1 / weight(nowNanos);
    landmarkNanos = nowNanos;
    return factor;
  }

  private double exponent(long nowNanos) {
    return (nowNanos - landmarkNanos) / HALF_LIFE_NANOS;
  }
}
