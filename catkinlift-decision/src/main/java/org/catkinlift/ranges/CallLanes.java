package org.catkinlift.ranges;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The calls of one kind to each destination: bounds how many are open at a time, and waits after a
 * call without an answer. Confined to the control thread.
 */
final class CallLanes {
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(150);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_200);

  /**
   * A lane without a call for so long is forgotten: its destination holds no keys any more, since
   * due calls are repeated earlier.
   */
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);

  private final int maxOpen;
  private final Map<GrantDestination, Lane> lanes = new HashMap<>();

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
      boolean isKnown = failures > 0 && startNanos < nextCallNanos;
      if (isKnown) {
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

  /** Creates lanes without calls; {@code maxOpen} is the limit of open calls to a destination. */
  CallLanes(int maxOpen) {
    this.maxOpen = maxOpen;
  }

  void clear() {
    lanes.clear();
  }

  /** Returns whether a destination has as many open calls as it may have. */
  boolean isFull(GrantDestination to) {
    Lane lane = lanes.get(to);
    return lane != null && lane.open >= maxOpen;
  }

  /** Returns whether a destination is left alone for a while, because a call had no answer. */
  boolean isResting(GrantDestination to, long nowNanos) {
    Lane lane = lanes.get(to);
    return lane != null && nowNanos < lane.nextCallNanos;
  }

  void started(GrantDestination to, long nowNanos) {
    lanes.computeIfAbsent(to, t -> new Lane(nowNanos)).open++;
  }

  /**
   * Records the end of a call. Calls that were open at the same time count as one failure.
   *
   * @param isAnswered whether the destination answered
   * @param startNanos when the call started
   */
  void ended(GrantDestination to, boolean isAnswered, long startNanos, long nowNanos) {
    Lane lane = lanes.get(to);
    lane.open--;
    lane.lastEndNanos = nowNanos;
    if (isAnswered) {
      lane.answered();
    } else {
      lane.failed(startNanos, nowNanos);
    }
  }

  /** Returns the destinations that answered none of at least so many calls in a row. */
  Stream<GrantDestination> withFailures(int count) {
    return lanes.entrySet().stream()
        .filter(e -> e.getValue().failures >= count)
        .map(Map.Entry::getKey);
  }

  void removeIdle(long nowNanos) {
    long idleSinceNanos = nowNanos - MAX_IDLE_TIME.toNanos();
    lanes.values().removeIf(l -> l.open == 0 && l.lastEndNanos < idleSinceNanos);
  }
}
