package org.catkinlift.admission;

/** Learns how long upstreams work on requests, with recent ones counting more. */
public final class ServiceTime {
  private static final double NEWEST_WEIGHT = 0.05;

  private double meanNanos;

  /**
   * Creates an estimate.
   *
   * @param firstGuessNanos what to expect before anything was measured
   */
  public ServiceTime(long firstGuessNanos) {
    this.meanNanos = firstGuessNanos;
  }

  /**
   * Takes one measured time.
   *
   * @param nanos from sending to the beginning of the answer
   */
  public void measured(long nanos) {
    meanNanos += NEWEST_WEIGHT * (nanos - meanNanos);
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
