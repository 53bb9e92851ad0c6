package org.catkinlift.admission;

/**
 * Estimates the service time of upstreams by an exponentially weighted moving average. The first
 * samples count more; the first one replaces the initial value.
 */
public final class ServiceTimeEstimate {
  private static final double MIN_SMOOTHING_FACTOR = 0.05;

  private double meanNanos;
  private int samples;

  /**
   * Creates an estimate.
   *
   * @param initialNanos the service time that is expected before anything was measured
   */
  public ServiceTimeEstimate(long initialNanos) {
    this.meanNanos = initialNanos;
  }

  /**
   * Adds a measured service time.
   *
   * @param nanos the time from sending the request to the beginning of the answer
   */
  public void addSample(long nanos) {
    samples++;
    meanNanos += Math.max(MIN_SMOOTHING_FACTOR, 1.0 / samples) * (nanos - meanNanos);
  }

  /** Returns the expected service time, in nanoseconds. */
  public long expectedNanos() {
    return (long) meanNanos;
  }
}
