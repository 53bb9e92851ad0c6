package org.catkinlift.limits;

import java.time.Duration;

/**
 * A request in the queue of an upstream.
 *
 * @param attempt the attempt
 * @param deadlineNanos when its caller gives up
 * @param leaseWaitEndNanos when it is refused if this daemon has no lease
 */
record WaitingRequest(long attempt, long deadlineNanos, long leaseWaitEndNanos) {
  /** A new dispatcher gets its lease within about this time, or another daemon gets it. */
  private static final Duration LONGEST_WAIT_FOR_LEASE = Duration.ofSeconds(1);

  static WaitingRequest of(long attempt, Duration deadline, long nowNanos) {
    Duration half = deadline.dividedBy(2);
    Duration untilLease =
        half.compareTo(LONGEST_WAIT_FOR_LEASE) < 0 ? half : LONGEST_WAIT_FOR_LEASE;
    return new WaitingRequest(
        attempt, nowNanos + deadline.toNanos(), nowNanos + untilLease.toNanos());
  }

  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
  }

  boolean hasExpired(long nowNanos, boolean hasLease) {
    return deadlineNanos <= nowNanos || (!hasLease && leaseWaitEndNanos <= nowNanos);
  }
}
