package org.catkinlift.standin.upstream;

/**
 * The local clock of an upstream, whose origin and rate may differ from those of other hosts.
 *
 * @param originMillis the reading at monotonic time 0
 * @param rate the milliseconds that this clock advances per real millisecond; 1 for an exact clock
 */
public record UpstreamClock(long originMillis, double rate) {

  private static final double NANOS_PER_MILLI = 1e6;

  /** A clock with origin 0 that neither gains nor loses time. */
  public static final UpstreamClock EXACT = new UpstreamClock(0, 1);

  /**
   * Reads the clock.
   *
   * @param nowNanos the current monotonic time of this process
   * @return the reading
   */
  public long millisAt(long nowNanos) {
    return originMillis + (long) Math.floor(nowNanos / NANOS_PER_MILLI * rate);
  }

  /**
   * Returns the time at which the clock shows a reading.
   *
   * @param millis the reading
   * @return the monotonic time of this process
   */
  public long nanosAt(long millis) {
    return (long) ((millis - originMillis) / rate * NANOS_PER_MILLI);
  }
}
