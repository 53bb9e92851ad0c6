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

  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
  }

  boolean hasExpired(long nowNanos, boolean hasLease) {
    return deadlineNanos <= nowNanos || (!hasLease && leaseWaitEndNanos <= nowNanos);
  }
}
