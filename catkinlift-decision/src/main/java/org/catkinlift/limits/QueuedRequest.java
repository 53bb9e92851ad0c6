package org.catkinlift.limits;

import java.time.Duration;

/**
 * A request in the queue of an upstream.
 *
 * @param attempt the attempt
 * @param deadlineNanos the caller's deadline
 * @param leaseWaitEndNanos the time at which it is refused if this daemon has no lease
 */
record QueuedRequest(long attempt, long deadlineNanos, long leaseWaitEndNanos) {
  /** Within about this time, either this daemon or another one is granted the lease. */
  private static final Duration MAX_LEASE_WAIT = Duration.ofSeconds(1);

  static QueuedRequest of(long attempt, Duration deadline, long nowNanos) {
    Duration half = deadline.dividedBy(2);
    Duration leaseWait = half.compareTo(MAX_LEASE_WAIT) < 0 ? half : MAX_LEASE_WAIT;
    return new QueuedRequest(
        attempt, nowNanos + deadline.toNanos(), nowNanos + leaseWait.toNanos());
  }

  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
  }

  boolean hasExpired(long nowNanos, boolean hasLease) {
    return deadlineNanos <= nowNanos || (!hasLease && leaseWaitEndNanos <= nowNanos);
  }
}
