package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The coordinator's state for one assignment: its grants, and the releases that precede them. */
final class AssignmentState {
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(150);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_200);

  private final RangeAssignment assignment;
  private final Map<Holder, PendingRelease> pendingReleases = new LinkedHashMap<>();

  private Optional<String> handover = Optional.empty();
  private boolean granted;
  private boolean callInFlight;
  private long nextCallNanos;
  private long holdExpiryNanos;
  private long holdExpiryBeforeCall;
  private Duration retryDelay = INITIAL_RETRY_DELAY;
  private int consecutiveFailures;

  /** The release by one previous holder. */
  static final class PendingRelease {
    private long holdExpiryNanos;
    private boolean callInFlight;
    private boolean released;
    private long nextCallNanos;
    private Duration retryDelay = INITIAL_RETRY_DELAY;

    private PendingRelease(long holdExpiryNanos, long nowNanos) {
      this.holdExpiryNanos = holdExpiryNanos;
      this.nextCallNanos = nowNanos;
    }

    boolean isCallDue(long nowNanos) {
      return !released && !callInFlight && nowNanos >= nextCallNanos;
    }

    boolean isReleasedOrExpired(long nowNanos) {
      return released || nowNanos > holdExpiryNanos;
    }

    private EndedHold.Cause endCause(long nowNanos) {
      if (released) {
        return new EndedHold.Cause.Released();
      }
      return holdExpiryNanos == 0
          ? new EndedHold.Cause.NeverGranted()
          : new EndedHold.Cause.Expired(Duration.ofNanos(nowNanos - holdExpiryNanos));
    }

    void callStarted() {
      callInFlight = true;
    }

    void callFailed(long nowNanos) {
      callInFlight = false;
      nextCallNanos = nowNanos + retryDelay.toNanos();
      retryDelay = nextRetryDelay(retryDelay);
    }
  }

  AssignmentState(RangeAssignment assignment, long nowNanos) {
    this.assignment = assignment;
    this.nextCallNanos = nowNanos;
  }

  private static Duration nextRetryDelay(Duration delay) {
    Duration doubled = delay.multipliedBy(2);
    return doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY;
  }

  RangeAssignment assignment() {
    return assignment;
  }

  /** Returns whether an assignment is this one, or a part of it under the same fencing token. */
  boolean covers(RangeAssignment other) {
    return assignment.fence() == other.fence()
        && assignment.holder().equals(other.holder())
        && assignment.range().overlaps(other.range());
  }

  Map<Holder, PendingRelease> pendingReleases() {
    return pendingReleases;
  }

  /** Registers a previous holder and until when it may use the keys. */
  void addPendingRelease(Holder holder, long holdExpiryNanos, long nowNanos) {
    pendingReleases.put(holder, new PendingRelease(holdExpiryNanos, nowNanos));
  }

  /** Copies the grant state of the same holder for a range that contains this one. */
  void inheritGrant(AssignmentState earlier) {
    granted = earlier.granted;
    holdExpiryNanos = Math.max(holdExpiryNanos, earlier.holdExpiryNanos);
    nextCallNanos = Math.max(nextCallNanos, earlier.nextCallNanos);
    handover = earlier.handover;
  }

  /** Returns until when a holder may use keys of this assignment; 0 if it never held them. */
  long holdExpiryNanos(Holder holder) {
    if (holder.equals(assignment.holder())) {
      return holdExpiryNanos;
    }
    PendingRelease release = pendingReleases.get(holder);
    return release == null || release.released ? 0 : release.holdExpiryNanos;
  }

  boolean isReleasedByOthers(long nowNanos) {
    return pendingReleases.values().stream()
        .allMatch(release -> release.isReleasedOrExpired(nowNanos));
  }

  boolean isGranted() {
    return granted;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  Optional<String> handover() {
    return granted ? Optional.empty() : handover;
  }

  boolean isGrantDue(long nowNanos) {
    return !callInFlight && nowNanos >= nextCallNanos && isReleasedByOthers(nowNanos);
  }

  /** Returns why a grant is sent now. */
  GrantReason grantReason(long nowNanos) {
    if (granted) {
      return new GrantReason.Renewal();
    }
    ImmutableList.Builder<EndedHold> endedHolds = ImmutableList.builder();
    pendingReleases.forEach(
        (holder, release) -> endedHolds.add(new EndedHold(holder, release.endCause(nowNanos))));
    return new GrantReason.FirstGrant(endedHolds.build());
  }

  /** Makes the next renewal due immediately. */
  void renewNow(long nowNanos) {
    nextCallNanos = Math.min(nextCallNanos, nowNanos);
  }

  void grantStarted(long newHoldExpiryNanos) {
    callInFlight = true;
    holdExpiryBeforeCall = holdExpiryNanos;
    holdExpiryNanos = Math.max(holdExpiryNanos, newHoldExpiryNanos);
  }

  void grantDone(long nextNanos) {
    callInFlight = false;
    granted = true;
    consecutiveFailures = 0;
    retryDelay = INITIAL_RETRY_DELAY;
    nextCallNanos = nextNanos;
  }

  void grantNotSent(long nowNanos) {
    holdExpiryNanos = holdExpiryBeforeCall;
    grantFailed(nowNanos);
  }

  void grantFailed(long nowNanos) {
    callInFlight = false;
    consecutiveFailures++;
    nextCallNanos = nowNanos + retryDelay.toNanos();
    retryDelay = nextRetryDelay(retryDelay);
  }

  void releaseDone(Holder from, Optional<String> newHandover, long nowNanos) {
    PendingRelease release = pendingReleases.get(from);
    if (release == null) {
      return;
    }
    release.callInFlight = false;
    release.released = true;
    if (newHandover.isPresent()) {
      handover = newHandover;
    }
    nextCallNanos = Math.min(nextCallNanos, nowNanos);
  }
}
