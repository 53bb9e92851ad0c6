package org.catkinlift.admission;

/** Learns how long upstreams work on requests, with recent ones counting more. */
public final class ServiceTimeEstimate {
  private static final double SMOOTHING_FACTOR = 0.05;

  private double meanNanos;

  /**
   * Creates an estimate.
   *
   * @param initialNanos what to expect before anything was measured
   */
  public ServiceTimeEstimate(long initialNanos) {
    this.meanNanos = initialNanos;
  }

  /**
   * Takes one measured time.
   *
   * @param nanos from sending to the beginning of the answer
   */
  public void addSample(long nanos) {
    meanNanos += SMOOTHING_FACTOR * (nanos - meanNanos);
  }

  /**
   * Returns the expected time.
   *
   * @return nanoseconds
   */
  public long expectedNanos() {
    return (long) meanNanos;
  }
}
