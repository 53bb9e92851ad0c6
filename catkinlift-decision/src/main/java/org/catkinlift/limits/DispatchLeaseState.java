package org.catkinlift.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;

/**
 * Knows until when this daemon may send requests to an upstream, and how many requests of earlier
 * dispatchers the upstream may still be executing.
 *
 * <p>After a lease that does not continue the previous one, the upstream is assumed to be full
 * until the longest {@code start before} of an earlier dispatcher has passed. After that its own
 * report counts. If the earlier dispatcher gave its lease up and said what it left behind, that
 * number counts instead, from the first moment. Confined to one event loop.
 */
final class DispatchLeaseState {
  /** The longest time between sending a request and its start at the upstream. */
  static final Duration MAX_START_BEFORE = Duration.ofMillis(500);

  /**
   * An upstream that has not reported by then gets one request at a time, so that its keys are
   * served within 3 s of the loss of the earlier dispatcher.
   */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_500);

  /** Without any report, requests of the earlier dispatcher are past their deadline by then. */
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

  /** Takes a new or renewed lease; one that is older than the latest or given up is ignored. */
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

  /** No other daemon can have sent requests since the previous grant of this daemon. */
  private boolean continuesPreviousLease(Epoch newEpoch, long nowNanos) {
    return isCurrent(nowNanos) || (held && newEpoch.equals(epoch));
  }

  void lost() {
    held = false;
    lost = true;
  }

  /** Ends a lease for good; it is not taken again, so what was left behind can be stated. */
  void released(Epoch givenUpEpoch) {
    lost();
    released = givenUpEpoch.equals(epoch);
  }

  /** Returns the lease that was given up, if the latest one was. */
  Optional<Epoch> releasedEpoch() {
    return released ? Optional.of(epoch) : Optional.empty();
  }

  boolean isCurrent(long nowNanos) {
    return held && nowNanos < expiresAtNanos;
  }

  /** Tells whether another daemon dispatches now, so that waiting for a lease makes no sense. */
  boolean isLost() {
    return lost;
  }

  /**
   * Takes the upstream's report. After a release it counts only if this daemon had no request in
   * execution meanwhile, because a report cannot tell the two daemons' requests apart exactly.
   */
  void inheritedRequestsReported(int requests, boolean noOwnRequests, long nowNanos) {
    if (inherited.isPresent()) {
      inherited =
          inherited.map(
              h ->
                  noOwnRequests && nowNanos >= h.latestStartNanos() ? h.withReported(requests) : h);
      return;
    }
    if (nowNanos - startedAtNanos < MAX_START_BEFORE.toNanos()) {
      return;
    }
    reportReceived = true;
    reportedRequests = requests;
  }

  /** Returns how many requests of earlier dispatchers the upstream may be executing. */
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

  /** Returns the requests of earlier dispatchers as far as they are known and not assumed. */
  OptionalInt knownInheritedRequests(long nowNanos) {
    boolean ended = nowNanos - startedAtNanos >= INHERITED_REQUESTS_END_WITHIN.toNanos();
    return inherited.isPresent() || reportReceived || ended
        ? OptionalInt.of(inheritedRequests(0, nowNanos))
        : OptionalInt.empty();
  }

  /** Returns when the requests of earlier dispatchers have surely ended. */
  long inheritedLatestEndNanos() {
    return inherited
        .map(InheritedRequests::latestEndNanos)
        .orElse(startedAtNanos + INHERITED_REQUESTS_END_WITHIN.toNanos());
  }

  /** Returns when no request of an earlier dispatcher starts any more. */
  long inheritedLatestStartNanos() {
    return inherited
        .map(InheritedRequests::latestStartNanos)
        .orElse(startedAtNanos + MAX_START_BEFORE.toNanos());
  }
}
