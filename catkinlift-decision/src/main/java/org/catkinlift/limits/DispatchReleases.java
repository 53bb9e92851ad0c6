package org.catkinlift.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.DispatchRelease;

/** States what a dispatcher left behind when it gave its lease up. */
final class DispatchReleases {
  private DispatchReleases() {}

  /** Returns the statement; empty if no lease was given up or earlier requests are not known. */
  static Optional<DispatchRelease> of(
      DispatchLeaseState lease, InFlightRequests running, long nowNanos) {
    OptionalInt inherited = lease.knownInheritedRequests(nowNanos);
    if (inherited.isEmpty()) {
      return Optional.empty();
    }
    long latestStart = running.latestStartNanos();
    long latestEnd = running.latestEndNanos();
    if (inherited.getAsInt() > 0) {
      latestStart = Math.max(latestStart, lease.inheritedLatestStartNanos());
      latestEnd = Math.max(latestEnd, lease.inheritedLatestEndNanos());
    }
    int total = running.count() + inherited.getAsInt();
    Duration startsWithin = durationUntil(latestStart, nowNanos);
    Duration endsWithin = durationUntil(latestEnd, nowNanos);
    return lease
        .releasedEpoch()
        .map(epoch -> new DispatchRelease(epoch, total, startsWithin, endsWithin));
  }

  private static Duration durationUntil(long endNanos, long nowNanos) {
    return endNanos <= nowNanos ? Duration.ZERO : Duration.ofNanos(endNanos - nowNanos);
  }
}
