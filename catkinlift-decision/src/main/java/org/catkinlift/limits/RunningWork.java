package org.catkinlift.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests that the upstream may be executing: those whose answer is awaited, and those
 * whose outcome is unknown.
 *
 * <p>A request with an unknown outcome counts until the upstream says how it ended, its process is
 * seen to be a new one, or its deadline has passed. Confined to one event loop.
 */
final class RunningWork {
  /** An upstream counts the deadline from the receipt of the request, which is a little later. */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(50);

  private final Map<Long, Long> awaited = new HashMap<>();
  private final Map<Long, Long> uncertain = new HashMap<>();

  void sent(long attempt, long deadlineNanos) {
    awaited.put(attempt, deadlineNanos + DEADLINE_MARGIN.toNanos());
  }

  boolean contains(long attempt) {
    return awaited.containsKey(attempt) || uncertain.containsKey(attempt);
  }

  boolean isAwaited(long attempt) {
    return awaited.containsKey(attempt);
  }

  void ended(long attempt) {
    awaited.remove(attempt);
    uncertain.remove(attempt);
  }

  void becameUncertain(long attempt) {
    Long end = awaited.remove(attempt);
    if (end != null) {
      uncertain.put(attempt, end);
    }
  }

  void expire(long nowNanos) {
    uncertain.values().removeIf(end -> end <= nowNanos);
  }

  /** Forgets requests with unknown outcome, because the process that had them is gone. */
  void instanceChanged() {
    uncertain.clear();
  }

  int count() {
    return awaited.size() + uncertain.size();
  }
}
