package org.catkinlift.admission;

import java.time.Duration;

/**
 * Estimates how much slower or faster one upstream is than the others of its service, from service
 * times corrected by the slowdown that the upstream reported with them. Confined to one thread.
 *
 * <p>Load pattern: upstreams of one service on machines of different speed. Without samples the
 * estimate returns to the usual speed, so that an upstream that was slow for a while is tried
 * again.
 */
final class UpstreamSpeedEstimate {
  /** The time after which a sample has lost about two thirds of its weight. */
  private static final Duration TIME_CONSTANT = Duration.ofSeconds(6);

  private static final double INITIAL_RATIO = 1;
  private static final double INITIAL_WEIGHT = 2;
  private static final double MIN_RATIO = 0.4;
  private static final double MAX_RATIO = 6;

  private double ratioSum;
  private double weight;
  private long decayedAtNanos;

  UpstreamSpeedEstimate(long nowNanos) {
    this.decayedAtNanos = nowNanos;
  }

  /**
   * Adds a measured service time.
   *
   * @param ratio the measured service time divided by the expected one
   * @param nowNanos the current time
   */
  void addSample(double ratio, long nowNanos) {
    decay(nowNanos);
    ratioSum += Math.min(MAX_RATIO, ratio);
    weight++;
  }

  /**
   * Returns the expected ratio of the upstream's service times to those of its service.
   *
   * @param nowNanos the current time
   */
  double ratio(long nowNanos) {
    if (weight == 0) {
      return INITIAL_RATIO;
    }
    decay(nowNanos);
    double mean = (ratioSum + INITIAL_RATIO * INITIAL_WEIGHT) / (weight + INITIAL_WEIGHT);
    return Math.max(MIN_RATIO, mean);
  }

  private void decay(long nowNanos) {
    double factor = Math.exp(-(double) (nowNanos - decayedAtNanos) / TIME_CONSTANT.toNanos());
    decayedAtNanos = nowNanos;
    ratioSum *= factor;
    weight *= factor;
  }
}
