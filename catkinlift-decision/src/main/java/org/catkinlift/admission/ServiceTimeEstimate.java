package org.catkinlift.admission;

/** Estimates the service time of upstreams by an exponentially weighted moving average. */
public final class ServiceTimeEstimate {
  private static final double SMOOTHING_FACTOR = 0.05;

  private double meanNanos;

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
    meanNanos += SMOOTHING_FACTOR * (nanos - meanNanos);
  }

  /** Returns the expected service time, in nanoseconds. */
  public long expectedNanos() {
    return (long) meanNanos;
  }
}
