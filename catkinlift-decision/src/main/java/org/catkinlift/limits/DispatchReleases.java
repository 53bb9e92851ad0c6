package org.catkinlift.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.DispatchRelease;

/** Computes the {@link DispatchRelease} of a dispatcher that released its lease. */
final class DispatchReleases {
  private DispatchReleases() {}

  /**
   * Returns the release; empty if no lease was released or the number of inherited requests is
   * unknown.
   */
  static Optional<DispatchRelease> of(
      DispatchLeaseState lease, InFlightRequests inFlight, long nowNanos) {
    OptionalInt inherited = lease.knownInheritedRequests(nowNanos);
    if (inherited.isEmpty()) {
      return Optional.empty();
    }
    long latestStart = inFlight.latestStartNanos();
    long latestEnd = inFlight.latestEndNanos();
    if (inherited.getAsInt() > 0) {
      latestStart = Math.max(latestStart, lease.inheritedLatestStartNanos());
      latestEnd = Math.max(latestEnd, lease.inheritedLatestEndNanos());
    }
    int total = inFlight.count() + inherited.getAsInt();
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
