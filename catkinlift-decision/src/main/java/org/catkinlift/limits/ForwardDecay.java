package org.catkinlift.limits;

import java.time.Duration;

/**
 * Computes exponentially decayed rates without touching old entries as time passes.
 *
 * <p>New events are weighted up instead of old ones down; a rate is a sum of weights divided by the
 * present weight. Sums must be multiplied by {@link #rescale} from time to time, before the weights
 * exceed the range of a double. Confined to one thread.
 */
final class ForwardDecay {
  private static final double HALF_LIFE_NANOS = Duration.ofSeconds(30).toNanos();

  /** The present weight is at most 2 to this power, which leaves room for sums of weights. */
  private static final double MAX_EXPONENT = 100;

  /** A steady rate of 1/s gives this decayed sum. */
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

  /** Starts again at weight 1 and returns the factor by which all sums must be multiplied. */
  double rescale(long nowNanos) {
    double factor = 1 / weight(nowNanos);
    landmarkNanos = nowNanos;
    return factor;
  }

  private double exponent(long nowNanos) {
    return (nowNanos - landmarkNanos) / HALF_LIFE_NANOS;
  }
}
