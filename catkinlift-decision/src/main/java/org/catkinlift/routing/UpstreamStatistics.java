package org.catkinlift.routing;

import java.time.Duration;

/**
 * Statistics of one upstream from the requests of this daemon.
 *
 * <p>Latency includes the wait in the queue of the upstream's dispatcher. Confined to one thread.
 */
final class UpstreamStatistics {
  /** The weight of a latency sample below the moving average. */
  private static final double DECREASE_WEIGHT = 0.2;

  /**
   * The weight of a sample above the average; higher, to detect a slow upstream after few answers.
   */
  private static final double INCREASE_WEIGHT = 0.5;

  /** The half-life of failures and latency deviations while no answers arrive. */
  private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

  /** The relative increase of an upstream's cost for each recent failure. */
  private static final double FAILURE_PENALTY = 1.0;

  private int inFlight;
  private double latencyNanos;
  private double failures;
  private long lastProgressNanos;

  void started(long nowNanos) {
    if (inFlight == 0) {
      lastProgressNanos = nowNanos;
    }
    inFlight++;
  }

  void answered(Duration latency, long nowNanos) {
    double sample = latency.toNanos();
    double weight = sample > latencyNanos ? INCREASE_WEIGHT : DECREASE_WEIGHT;
    latencyNanos = latencyNanos == 0 ? sample : latencyNanos + weight * (sample - latencyNanos);
    finished(nowNanos);
  }

  void failed(long nowNanos) {
    failures = failuresAt(nowNanos) + 1;
    finished(nowNanos);
  }

  void decrementInFlight() {
    inFlight = Math.max(0, inFlight - 1);
  }

  /** Returns the expected cost of one more request, in nanoseconds per execution slot. */
  double cost(int concurrencyLimit, double meanLatencyNanos, long nowNanos) {
    double work = (inFlight + 1.0) / concurrencyLimit;
    double penalty = 1 + FAILURE_PENALTY * failuresAt(nowNanos);
    return work * penalty * expectedNanos(meanLatencyNanos, nowNanos);
  }

  double latencyNanos() {
    return latencyNanos;
  }

  int inFlight() {
    return inFlight;
  }

  private void finished(long nowNanos) {
    decrementInFlight();
    lastProgressNanos = nowNanos;
  }

  private double expectedNanos(double meanLatencyNanos, long nowNanos) {
    double estimate = latencyNanos == 0 ? meanLatencyNanos : latencyNanos;
    double sinceProgressNanos = (double) (nowNanos - lastProgressNanos);
    if (inFlight > 0) {
      return Math.max(estimate, sinceProgressNanos);
    }
    return meanLatencyNanos + (estimate - meanLatencyNanos) * decay(sinceProgressNanos);
  }

  private double failuresAt(long nowNanos) {
    return failures * decay((double) (nowNanos - lastProgressNanos));
  }

  private static double decay(double elapsedNanos) {
    return Math.pow(0.5, elapsedNanos / HALF_LIFE_NANOS);
  }
}
