package org.catkinlift.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;

/**
 * Tracks until when this daemon may send requests to an upstream, and how many requests inherited
 * from previous dispatchers the upstream may still be executing.
 *
 * <p>After a grant that does not continue the previous lease of this daemon, the upstream is
 * assumed to be at its limit until it reports how many requests of previous dispatchers it
 * executes. Reports count only after {@link #MAX_START_BEFORE}, when no such request can start any
 * more. If the previous dispatcher released its lease and stated which requests it left, that
 * number is used immediately. Confined to one event loop.
 */
final class DispatchLeaseState {
  /** The maximum time between sending a request and its start at the upstream. */
  static final Duration MAX_START_BEFORE = Duration.ofMillis(500);

  /**
   * If the upstream has not reported within this time, it is sent one request at a time, so that
   * its keys are served again within 3 s of the loss of the previous dispatcher.
   */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_500);

  /**
   * Without a report, requests of previous dispatchers are not counted after this time, which is
   * the default deadline of a request.
   */
  private static final Duration INHERITED_REQUESTS_END_WITHIN = Duration.ofSeconds(10);

  private Epoch epoch = Epoch.NONE;
  private boolean held;
  private boolean lost;
  private long expiresAtNanos;
  private long startedAtNanos;
  private boolean reportReceived;
  private int reportedRequests;
  private boolean released;
  private Optional<InheritedRequests> inherited = Optional.empty();

  /** Applies a new or renewed lease; ignored if it is older than the latest one or was released. */
  void granted(DispatchLease lease, long nowNanos) {
    Epoch newEpoch = lease.epoch();
    if (epoch.isAfter(newEpoch) || (released && newEpoch.equals(epoch))) {
      return;
    }
    if (!continuesPreviousLease(newEpoch, nowNanos)) {
      startedAtNanos = nowNanos;
      reportReceived = false;
      inherited = Optional.empty();
    }
    epoch = newEpoch;
    expiresAtNanos = nowNanos + lease.remaining().toNanos();
    held = true;
    lost = false;
    released = false;
    lease
        .priorRelease()
        .filter(e -> newEpoch.isAfter(e.epoch()))
        .map(e -> InheritedRequests.of(e, nowNanos))
        .ifPresent(e -> inherited = Optional.of(inherited.map(h -> h.min(e)).orElse(e)));
  }

  /**
   * Returns whether no other daemon can have sent requests since the previous grant to this daemon.
   */
  private boolean continuesPreviousLease(Epoch newEpoch, long nowNanos) {
    return isCurrent(nowNanos) || (held && newEpoch.equals(epoch));
  }

  void lost() {
    held = false;
    lost = true;
  }

  /**
   * Ends a lease permanently. It is not accepted again, so the remaining requests can be stated in
   * a release.
   */
  void released(Epoch leaseEpoch) {
    lost();
    released = leaseEpoch.equals(epoch);
  }

  /** Returns the epoch of the latest lease if it was released. */
  Optional<Epoch> releasedEpoch() {
    return released ? Optional.of(epoch) : Optional.empty();
  }

  boolean isCurrent(long nowNanos) {
    return held && nowNanos < expiresAtNanos;
  }

  /**
   * Returns whether the lease was lost to another daemon, in which case requests must not wait for
   * a lease.
   */
  boolean isLost() {
    return lost;
  }

  /**
   * Applies the upstream's report of requests from other dispatchers. After a release it is used
   * only if this daemon had no request in flight in the meantime, because a report cannot separate
   * the requests of the two daemons exactly.
   */
  void inheritedRequestsReported(int requests, boolean noneInFlight, long nowNanos) {
    if (inherited.isPresent()) {
      inherited =
          inherited.map(
              h -> noneInFlight && nowNanos >= h.latestStartNanos() ? h.withReported(requests) : h);
      return;
    }
    if (nowNanos - startedAtNanos < MAX_START_BEFORE.toNanos()) {
      return;
    }
    reportReceived = true;
    reportedRequests = requests;
  }

  /** Returns how many inherited requests the upstream may be executing. */
  int inheritedRequests(int limit, long nowNanos) {
    if (inherited.isPresent()) {
      return inherited.get().runningAt(nowNanos);
    }
    long elapsed = nowNanos - startedAtNanos;
    if (elapsed < MAX_START_BEFORE.toNanos()) {
      return limit;
    }
    if (reportReceived) {
      return reportedRequests;
    }
    if (elapsed < REPORT_TIMEOUT.toNanos()) {
      return limit;
    }
    return elapsed < INHERITED_REQUESTS_END_WITHIN.toNanos() ? limit - 1 : 0;
  }

  /** Returns the number of inherited requests; empty if it is only an assumption. */
  OptionalInt knownInheritedRequests(long nowNanos) {
    boolean ended = nowNanos - startedAtNanos >= INHERITED_REQUESTS_END_WITHIN.toNanos();
    return inherited.isPresent() || reportReceived || ended
        ? OptionalInt.of(inheritedRequests(0, nowNanos))
        : OptionalInt.empty();
  }

  /** Returns the time after which all inherited requests have passed their deadline. */
  long inheritedLatestEndNanos() {
    return inherited
        .map(InheritedRequests::latestEndNanos)
        .orElse(startedAtNanos + INHERITED_REQUESTS_END_WITHIN.toNanos());
  }

  /** Returns the time after which no inherited request can start any more. */
  long inheritedLatestStartNanos() {
    return inherited
        .map(InheritedRequests::latestStartNanos)
        .orElse(startedAtNanos + MAX_START_BEFORE.toNanos());
  }
}
