package org.catkinlift.ranges;

import java.time.Duration;

/**
 * A reading of the monotonic clock and the wall clock of a host at the same time.
 *
 * <p>The monotonic clock stops while a host is suspended; the wall clock does not, but it can be
 * adjusted. An upper bound on elapsed time is therefore trusted only if both clocks confirm it.
 *
 * @param nanos the monotonic clock
 * @param wallMillis the wall clock
 */
public record ClockReading(long nanos, long wallMillis) {

  /**
   * Returns whether, by both clocks, at most {@code limit} has passed since an earlier reading.
   *
   * @param earlier the earlier reading
   * @param limit the longest elapsed time
   * @return false if either clock shows that more time has passed
   */
  public boolean isWithin(ClockReading earlier, Duration limit) {
    return nanos - earlier.nanos <= limit.toNanos()
        && wallMillis - earlier.wallMillis <= limit.toMillis();
  }

  /** Returns the time since an earlier reading by the monotonic clock. */
  public Duration since(ClockReading earlier) {
    return Duration.ofNanos(nanos - earlier.nanos);
  }
}
