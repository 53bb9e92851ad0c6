package org.catkinlift.ranges;

import java.util.stream.Stream;

/**
 * Decides how many grants and releases may be open at a time.
 *
 * <p>After a change of the coordinator a grant of each range is due at once. If all were sent, the
 * control thread would handle responses only after their timeouts and send those calls again, for
 * as long as the load lasts. Releases have limits of their own, because their responses wait for
 * the work on the keys. Confined to the control thread.
 */
final class CallAdmission {
  /** An upstream accepts a limited number of connections, and each call opens one. */
  private static final int MAX_GRANTS_PER_UPSTREAM = 2;

  private static final int MAX_RELEASES_PER_UPSTREAM = 4;
  private static final int MAX_RECENT_GRANTS = 32;
  private static final int MAX_RECENT_RELEASES = 16;

  private final CallLanes grants = new CallLanes(MAX_GRANTS_PER_UPSTREAM, MAX_RECENT_GRANTS);
  private final CallLanes releases = new CallLanes(MAX_RELEASES_PER_UPSTREAM, MAX_RECENT_RELEASES);
  private boolean backlogged;

  /** Forgets all calls. */
  void clear() {
    grants.clear();
    releases.clear();
    backlogged = false;
  }

  /** Starts a round, in which calls are admitted in the order in which the caller asks. */
  void roundStarted(long nowNanos) {
    backlogged = false;
    grants.roundStarted(nowNanos);
    releases.roundStarted(nowNanos);
  }

  /** Returns whether a call that is due may start now. */
  boolean isAdmitted(GrantDestination to, CallKind kind, long nowNanos) {
    CallLanes lanes = lanesOf(kind);
    if (lanes.isBackingOff(to, nowNanos)) {
      return false;
    }
    boolean admitted = lanes.hasRoom(to);
    backlogged |= !admitted;
    return admitted;
  }

  /** Returns whether a call of the last round waits for the end of another one. */
  boolean isBacklogged() {
    return backlogged;
  }

  void started(long callId, GrantDestination to, CallKind kind, long nowNanos) {
    lanesOf(kind).started(callId, to, nowNanos);
  }

  void ended(long callId, CallKind kind, boolean isAnswered, long nowNanos) {
    lanesOf(kind).ended(callId, isAnswered, nowNanos);
  }

  /** Returns the destinations that answered none of at least so many grants in a row. */
  Stream<GrantDestination> destinationsWithFailedGrants(int count) {
    return grants.destinationsWithFailures(count);
  }

  private CallLanes lanesOf(CallKind kind) {
    return switch (kind) {
      case GRANT -> grants;
      case RELEASE -> releases;
    };
  }
}
