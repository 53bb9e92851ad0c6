package org.catkinlift.limits;

import java.time.Duration;

/**
 * A request in the queue of an upstream.
 *
 * @param attempt the attempt
 * @param deadlineNanos when its caller gives up
 * @param leaseWaitEndNanos when it is refused if this daemon has no lease
 */
record QueuedRequest(long attempt, long deadlineNanos, long leaseWaitEndNanos) {
  /** A new dispatcher gets its lease within about this time, or another daemon gets it. */
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
