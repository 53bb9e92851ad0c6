package org.catkinlift.ranges;

import java.time.Duration;

/**
 * One moment on two clocks of a host.
 *
 * <p>The monotonic clock stands still while a host is suspended; the time of day does not, but it
 * may be set. Time has surely passed as little as the clocks say only if both say so.
 *
 * @param nanos the monotonic time
 * @param wallMillis the time of day
 */
public record ClockReading(long nanos, long wallMillis) {

  /**
   * Tells whether at most this much time has passed since an earlier moment on both clocks.
   *
   * @param earlier the earlier moment
   * @param limit the longest time
   * @return false if either clock says that more time has passed
   */
  public boolean isWithin(ClockReading earlier, Duration limit) {
    return nanos - earlier.nanos <= limit.toNanos()
        && wallMillis - earlier.wallMillis <= limit.toMillis();
  }

  /**
   * Returns the time since an earlier moment on the monotonic clock.
   *
   * @param earlier the earlier moment
   * @return the time
   */
  public Duration since(ClockReading earlier) {
    return Duration.ofNanos(nanos - earlier.nanos);
  }
}
