package org.catkinlift.connections;

/**
 * The state of one connection.
 *
 * @param attempt the attempt that it carries; {@link Long#MIN_VALUE} if it is idle
 * @param sinceNanos when the attempt was sent or the connection became idle
 * @param overdueAtNanos when the answer is overdue
 * @param abandoned whether the caller of the attempt no longer waits
 */
record TrackedConnection(long attempt, long sinceNanos, long overdueAtNanos, boolean abandoned) {
  private static final long NO_ATTEMPT = Long.MIN_VALUE;

  static TrackedConnection idle(long nowNanos) {
    return new TrackedConnection(NO_ATTEMPT, nowNanos, Long.MAX_VALUE, false);
  }

  static TrackedConnection busy(long attempt, long nowNanos, long overdueAtNanos) {
    return new TrackedConnection(attempt, nowNanos, overdueAtNanos, false);
  }

  TrackedConnection abandon() {
    return new TrackedConnection(attempt, sinceNanos, overdueAtNanos, true);
  }

  boolean carries(long candidate) {
    return attempt != NO_ATTEMPT && attempt == candidate;
  }

  boolean isOverdue(long nowNanos) {
    return attempt != NO_ATTEMPT && nowNanos >= overdueAtNanos;
  }
}
