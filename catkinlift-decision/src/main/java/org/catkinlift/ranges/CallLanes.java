package org.catkinlift.ranges;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The calls of one kind, in a lane for each destination: bounds how many are open at a time, and
 * backs off after a call without an answer. Confined to the control thread.
 *
 * <p>Over all destinations, only calls that were started a short time ago count: one that is open
 * for longer costs no processor time, and unreachable destinations must not keep others from their
 * calls.
 */
final class CallLanes {
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(150);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_200);

  /**
   * A lane without a call for so long is forgotten: its destination holds no keys any more, since
   * due calls are repeated earlier.
   */
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);

  /** Longer than a destination usually takes to answer. */
  private static final Duration RECENT = Duration.ofMillis(50);

  private final int maxOpenEach;
  private final int maxRecent;
  private final Map<GrantDestination, Lane> lanes = new HashMap<>();
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private int recentCalls;

  private record OpenCall(GrantDestination to, long startNanos) {}

  private static final class Lane {
    private int open;
    private int failures;
    private long nextCallNanos;
    private long lastEndNanos;
    private Duration retryDelay = INITIAL_RETRY_DELAY;

    private Lane(long nowNanos) {
      this.nextCallNanos = nowNanos;
      this.lastEndNanos = nowNanos;
    }

    private void failed(long startNanos, long nowNanos) {
      boolean wasOpenAtLastFailure = failures > 0 && startNanos < nextCallNanos;
      if (wasOpenAtLastFailure) {
        return;
      }
      failures++;
      nextCallNanos = nowNanos + retryDelay.toNanos();
      Duration doubled = retryDelay.multipliedBy(2);
      retryDelay = doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY;
    }

    private void answered() {
      failures = 0;
      retryDelay = INITIAL_RETRY_DELAY;
    }
  }

  /**
   * Creates lanes without calls.
   *
   * @param maxOpenEach the limit of open calls to one destination
   * @param maxRecent the limit of open calls that were started a short time ago
   */
  CallLanes(int maxOpenEach, int maxRecent) {
    this.maxOpenEach = maxOpenEach;
    this.maxRecent = maxRecent;
  }

  void clear() {
    lanes.clear();
    openCalls.clear();
    recentCalls = 0;
  }

  /** Counts the calls that were started a short time ago, and forgets lanes out of use. */
  void roundStarted(long nowNanos) {
    long recentSinceNanos = nowNanos - RECENT.toNanos();
    recentCalls =
        (int) openCalls.values().stream().filter(c -> c.startNanos() > recentSinceNanos).count();
    long idleSinceNanos = nowNanos - MAX_IDLE_TIME.toNanos();
    lanes.values().removeIf(l -> l.open == 0 && l.lastEndNanos < idleSinceNanos);
  }

  /**
   * Returns whether one more call to a destination may be open. One that did not answer the last
   * call gets a single call at a time.
   */
  boolean hasRoom(GrantDestination to) {
    Lane lane = lanes.get(to);
    boolean isFull = lane != null && lane.open >= (lane.failures == 0 ? maxOpenEach : 1);
    return !isFull && recentCalls < maxRecent;
  }

  /** Returns whether no call may start yet, because an earlier one had no answer. */
  boolean isBackingOff(GrantDestination to, long nowNanos) {
    Lane lane = lanes.get(to);
    return lane != null && nowNanos < lane.nextCallNanos;
  }

  void started(long callId, GrantDestination to, long nowNanos) {
    openCalls.put(callId, new OpenCall(to, nowNanos));
    lanes.computeIfAbsent(to, t -> new Lane(nowNanos)).open++;
    recentCalls++;
  }

  /** Records the end of a call. Calls that were open at the same time count as one failure. */
  void ended(long callId, boolean isAnswered, long nowNanos) {
    OpenCall call = openCalls.remove(callId);
    Lane lane = lanes.get(call.to());
    lane.open--;
    lane.lastEndNanos = nowNanos;
    if (isAnswered) {
      lane.answered();
    } else {
      lane.failed(call.startNanos(), nowNanos);
    }
  }

  /** Returns the destinations that answered none of at least so many calls in a row. */
  Stream<GrantDestination> destinationsWithFailures(int count) {
    return lanes.entrySet().stream()
        .filter(e -> e.getValue().failures >= count)
        .map(Map.Entry::getKey);
  }
}
