package org.catkinlift.admission;

import java.time.Duration;

/**
 * Estimates the share of requests that an upstream fails. Confined to one thread.
 *
 * <p>Load pattern: an upstream that fails part of its requests at once while its health check
 * passes. Judged by its response times alone it would look like the fastest and attract more
 * requests. The estimate falls with time, so that a recovered upstream is used again.
 */
final class FailureRate {
  /** The time after which a sample has lost about two thirds of its weight. */
  private static final Duration TIME_CONSTANT = Duration.ofSeconds(3);

  /** Number of successful requests that the estimate starts with and returns to. */
  private static final double PRIOR_SUCCESSES = 3;

  private double failures;
  private double successes;
  private long decayedAtNanos;

  FailureRate(long nowNanos) {
    this.decayedAtNanos = nowNanos;
  }

  void succeeded(long nowNanos) {
    decay(nowNanos);
    successes++;
  }

  void failed(long nowNanos) {
    decay(nowNanos);
    failures++;
  }

  /**
   * Returns the expected share of failed requests, from 0 to less than 1.
   *
   * @param nowNanos the current time
   */
  double value(long nowNanos) {
    if (failures == 0) {
      return 0;
    }
    decay(nowNanos);
    return failures / (failures + successes + PRIOR_SUCCESSES);
  }

  private void decay(long nowNanos) {
    double factor = Math.exp(-(double) (nowNanos - decayedAtNanos) / TIME_CONSTANT.toNanos());
    decayedAtNanos = nowNanos;
    failures *= factor;
    successes *= factor;
  }
}
