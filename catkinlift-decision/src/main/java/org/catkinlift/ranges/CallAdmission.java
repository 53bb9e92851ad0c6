package org.catkinlift.ranges;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Decides how many grants and releases may be open at a time.
 *
 * <p>After a change of the coordinator a grant of each range is due at once. A call whose response
 * the control thread gets to after its timeout is lost work, and is sent again, so sending all of
 * them may last forever. Only calls that were started a short time ago count: one that is without a
 * response for longer costs no processor time, and an unreachable upstream must not keep others
 * from their grants. Confined to the control thread.
 */
final class CallAdmission {
  private static final int MAX_GRANTS_PER_UPSTREAM = 2;
  private static final int MAX_RELEASES_PER_UPSTREAM = 4;
  private static final int MAX_RECENT_CALLS = 32;

  /** Half of the time in which a connection has to be established. */
  private static final Duration RECENT = Duration.ofMillis(150);

  private final CallLanes grants = new CallLanes(MAX_GRANTS_PER_UPSTREAM);
  private final CallLanes releases = new CallLanes(MAX_RELEASES_PER_UPSTREAM);
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private int recentCalls;
  private boolean backlogged;

  private record OpenCall(GrantDestination to, boolean isGrant, long startNanos) {}

  /** Forgets all calls. */
  void clear() {
    grants.clear();
    releases.clear();
    openCalls.clear();
    backlogged = false;
  }

  /** Starts a round, in which calls are admitted in the order in which the caller asks. */
  void roundStarted(long nowNanos) {
    long recentSinceNanos = nowNanos - RECENT.toNanos();
    recentCalls =
        (int) openCalls.values().stream().filter(c -> c.startNanos() > recentSinceNanos).count();
    backlogged = false;
    grants.removeIdle(nowNanos);
    releases.removeIdle(nowNanos);
  }

  /** Returns whether a call that is due may start now. */
  boolean isAdmitted(GrantDestination to, boolean isGrant, long nowNanos) {
    CallLanes lanes = lanesOf(isGrant);
    if (lanes.isResting(to, nowNanos)) {
      return false;
    }
    boolean admitted = recentCalls < MAX_RECENT_CALLS && !lanes.isFull(to);
    backlogged |= !admitted;
    return admitted;
  }

  /** Returns whether a call of the last round waits for the end of another one. */
  boolean isBacklogged() {
    return backlogged;
  }

  void started(long callId, GrantDestination to, boolean isGrant, long nowNanos) {
    openCalls.put(callId, new OpenCall(to, isGrant, nowNanos));
    lanesOf(isGrant).started(to, nowNanos);
    recentCalls++;
  }

  void ended(long callId, boolean isAnswered, long nowNanos) {
    OpenCall call = openCalls.remove(callId);
    lanesOf(call.isGrant()).ended(call.to(), isAnswered, call.startNanos(), nowNanos);
  }

  /** Returns the destinations that answered none of at least so many grants in a row. */
  Stream<GrantDestination> withoutAnswerToGrants(int count) {
    return grants.withFailures(count);
  }

  private CallLanes lanesOf(boolean isGrant) {
    return isGrant ? grants : releases;
  }
}
