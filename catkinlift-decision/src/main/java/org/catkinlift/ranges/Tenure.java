package org.catkinlift.ranges;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** What the coordinator knows about one assignment: its grants, and the release before them. */
final class Tenure {
  private static final Duration FIRST_RETRY = Duration.ofMillis(150);
  private static final Duration LONGEST_RETRY = Duration.ofMillis(1_200);

  private final RangeAssignment assignment;
  private final Map<Holder, Leaving> leaving = new LinkedHashMap<>();

  private Optional<String> handover = Optional.empty();
  private boolean granted;
  private boolean callRunning;
  private long nextCallNanos;
  private long holdsUntilNanos;
  private long holdsUntilBeforeCall;
  private Duration retry = FIRST_RETRY;
  private int failures;

  /** One earlier holder on its way out. */
  static final class Leaving {
    private long holdsUntilNanos;
    private boolean callRunning;
    private boolean gone;
    private long nextCallNanos;
    private Duration retry = FIRST_RETRY;

    private Leaving(long holdsUntilNanos, long nowNanos) {
      this.holdsUntilNanos = holdsUntilNanos;
      this.nextCallNanos = nowNanos;
    }

    boolean isDue(long nowNanos) {
      return !gone && !callRunning && nowNanos >= nextCallNanos;
    }

    boolean hasLetGo(long nowNanos) {
      return gone || nowNanos > holdsUntilNanos;
    }

    void callStarted() {
      callRunning = true;
    }

    void callFailed(long nowNanos) {
      callRunning = false;
      nextCallNanos = nowNanos + retry.toNanos();
      retry = longer(retry);
    }
  }

  Tenure(RangeAssignment assignment, long nowNanos) {
    this.assignment = assignment;
    this.nextCallNanos = nowNanos;
  }

  private static Duration longer(Duration retry) {
    Duration doubled = retry.multipliedBy(2);
    return doubled.compareTo(LONGEST_RETRY) < 0 ? doubled : LONGEST_RETRY;
  }

  RangeAssignment assignment() {
    return assignment;
  }

  /** Tells whether an assignment is this one or a part of it, under the same grant. */
  boolean covers(RangeAssignment other) {
    return assignment.fence() == other.fence()
        && assignment.holder().equals(other.holder())
        && assignment.range().overlaps(other.range());
  }

  Map<Holder, Leaving> leaving() {
    return leaving;
  }

  /** Notes an earlier holder and until when it may use the keys. */
  void addLeaving(Holder holder, long holdsUntil, long nowNanos) {
    leaving.put(holder, new Leaving(holdsUntil, nowNanos));
  }

  /** Takes over what was known about the same holder's grant of a larger or equal range. */
  void inherit(Tenure earlier) {
    granted = earlier.granted;
    holdsUntilNanos = Math.max(holdsUntilNanos, earlier.holdsUntilNanos);
    nextCallNanos = Math.max(nextCallNanos, earlier.nextCallNanos);
    handover = earlier.handover;
  }

  /** Returns until when a holder may use keys of this assignment, 0 if it never had them. */
  long holdsUntil(Holder holder) {
    if (holder.equals(assignment.holder())) {
      return holdsUntilNanos;
    }
    Leaving left = leaving.get(holder);
    return left == null || left.gone ? 0 : left.holdsUntilNanos;
  }

  boolean isFree(long nowNanos) {
    return leaving.values().stream().allMatch(l -> l.hasLetGo(nowNanos));
  }

  boolean isGranted() {
    return granted;
  }

  int failures() {
    return failures;
  }

  Optional<String> handover() {
    return granted ? Optional.empty() : handover;
  }

  boolean isGrantDue(long nowNanos) {
    return !callRunning && nowNanos >= nextCallNanos && isFree(nowNanos);
  }

  /** Lets the next renewal be sent at once. */
  void renewNow(long nowNanos) {
    nextCallNanos = Math.min(nextCallNanos, nowNanos);
  }

  void grantStarted(long holdsUntil) {
    callRunning = true;
    holdsUntilBeforeCall = holdsUntilNanos;
    holdsUntilNanos = Math.max(holdsUntilNanos, holdsUntil);
  }

  void grantDone(long nextNanos) {
    callRunning = false;
    granted = true;
    failures = 0;
    retry = FIRST_RETRY;
    nextCallNanos = nextNanos;
  }

  void grantNotSent(long nowNanos) {
    holdsUntilNanos = holdsUntilBeforeCall;
    grantFailed(nowNanos);
  }

  void grantFailed(long nowNanos) {
    callRunning = false;
    failures++;
    nextCallNanos = nowNanos + retry.toNanos();
    retry = longer(retry);
  }

  void released(Holder from, Optional<String> handoverText, long nowNanos) {
    Leaving left = leaving.get(from);
    if (left == null) {
      return;
    }
    left.callRunning = false;
    left.gone = true;
    if (handoverText.isPresent()) {
      handover = handoverText;
    }
    nextCallNanos = Math.min(nextCallNanos, nowNanos);
  }
}
