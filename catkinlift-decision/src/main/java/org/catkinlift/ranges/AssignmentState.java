package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The coordinator's state for one assignment: its grants, and the releases that precede them. */
final class AssignmentState {
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(150);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_200);

  /** Before a grant expires, there is time for a renewal that gets no answer, and another one. */
  private static final Duration RENEWAL_MARGIN = RangeAction.MAX_DELIVERY_DELAY.multipliedBy(2);

  private final RangeAssignment assignment;
  private final Map<Holder, PendingRelease> pendingReleases = new LinkedHashMap<>();

  private Optional<String> handover = Optional.empty();
  private boolean granted;
  private boolean callInFlight;
  private long nextCallNanos;
  private Duration retryDelay = INITIAL_RETRY_DELAY;
  private long grantExpiryNanos;

  /** The release by one previous holder. */
  static final class PendingRelease {
    private OptionalLong holdExpiryNanos = OptionalLong.empty();
    private boolean callInFlight;
    private boolean released;
    private long nextCallNanos;
    private Duration retryDelay = INITIAL_RETRY_DELAY;

    private PendingRelease(long nowNanos) {
      this.nextCallNanos = nowNanos;
    }

    /** Notes when the holder's last known hold expires, for the reason of the next grant. */
    void holdKnown(long expiryNanos) {
      holdExpiryNanos = OptionalLong.of(expiryNanos);
    }

    boolean isCallDue(long nowNanos) {
      return !callInFlight && nowNanos >= nextCallNanos;
    }

    long dueNanos() {
      return nextCallNanos;
    }

    private EndedHold.Cause endCause(long nowNanos) {
      if (released) {
        return new EndedHold.Cause.Released();
      }
      return holdExpiryNanos.isPresent()
          ? new EndedHold.Cause.Expired(Duration.ofNanos(nowNanos - holdExpiryNanos.getAsLong()))
          : new EndedHold.Cause.NoKnownHold();
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
    assignment.previousHolders().forEach(h -> pendingReleases.put(h, new PendingRelease(nowNanos)));
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

  /** Copies the grant state of the same holder for a range that contains this one. */
  void inheritGrant(AssignmentState earlier) {
    granted = earlier.granted;
    grantExpiryNanos = earlier.grantExpiryNanos;
    nextCallNanos = Math.max(nextCallNanos, earlier.nextCallNanos);
    handover = earlier.handover;
  }

  boolean isGranted() {
    return granted;
  }

  Optional<String> handover() {
    return granted ? Optional.empty() : handover;
  }

  boolean isGrantDue(long nowNanos) {
    return !callInFlight && nowNanos >= nextCallNanos;
  }

  /** Returns the time by which the next grant has to be sent. */
  long grantDeadlineNanos() {
    return granted ? grantExpiryNanos - RENEWAL_MARGIN.toNanos() : nextCallNanos;
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

  void grantStarted() {
    callInFlight = true;
  }

  /**
   * Records a confirmed grant.
   *
   * @param expiryNanos when it expires at the earliest
   * @param nextNanos when to renew it
   */
  void grantDone(long expiryNanos, long nextNanos) {
    callInFlight = false;
    granted = true;
    grantExpiryNanos = expiryNanos;
    retryDelay = INITIAL_RETRY_DELAY;
    nextCallNanos = nextNanos;
  }

  void grantFailed(long nowNanos) {
    callInFlight = false;
    nextCallNanos = nowNanos + retryDelay.toNanos();
    retryDelay = nextRetryDelay(retryDelay);
  }

  void releaseFailed(Holder from, long nowNanos) {
    pendingReleases.get(from).callFailed(nowNanos);
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
