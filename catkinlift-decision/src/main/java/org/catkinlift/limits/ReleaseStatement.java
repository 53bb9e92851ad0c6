package org.catkinlift.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.DispatchRelease;

/** States what a dispatcher left behind when it gave its lease up. */
final class ReleaseStatement {
  private ReleaseStatement() {}

  /** Returns the statement; empty if no lease was given up or earlier requests are not known. */
  static Optional<DispatchRelease> of(LeaseClock lease, RunningWork running, long nowNanos) {
    OptionalInt earlier = lease.knownEarlierRequests(nowNanos);
    if (earlier.isEmpty()) {
      return Optional.empty();
    }
    long starts = running.startsUntil();
    long ends = running.endsAt();
    if (earlier.getAsInt() > 0) {
      starts = Math.max(starts, lease.earlierRequestsStartUntil());
      ends = Math.max(ends, lease.earlierRequestsEndAt());
    }
    int all = running.count() + earlier.getAsInt();
    Duration startsWithin = until(starts, nowNanos);
    Duration endsWithin = until(ends, nowNanos);
    return lease
        .releasedEpoch()
        .map(epoch -> new DispatchRelease(epoch, all, startsWithin, endsWithin));
  }

  private static Duration until(long endNanos, long nowNanos) {
    return endNanos <= nowNanos ? Duration.ZERO : Duration.ofNanos(endNanos - nowNanos);
  }
}
