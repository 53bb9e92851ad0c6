package org.catkinlift.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

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

  private final Map<Long, Sent> awaited = new HashMap<>();
  private final Map<Long, Sent> uncertain = new HashMap<>();
  private long endedAt = Long.MIN_VALUE;

  private record Sent(long startsUntilNanos, long endsAtNanos) {}

  void sent(long attempt, long startsUntilNanos, long deadlineNanos) {
    awaited.put(attempt, new Sent(startsUntilNanos, deadlineNanos + DEADLINE_MARGIN.toNanos()));
  }

  boolean contains(long attempt) {
    return awaited.containsKey(attempt) || uncertain.containsKey(attempt);
  }

  boolean isAwaited(long attempt) {
    return awaited.containsKey(attempt);
  }

  void ended(long attempt, long nowNanos) {
    awaited.remove(attempt);
    uncertain.remove(attempt);
    endedAt = nowNanos;
  }

  void becameUncertain(long attempt) {
    Sent sent = awaited.remove(attempt);
    if (sent != null) {
      uncertain.put(attempt, sent);
    }
  }

  void expire(long nowNanos) {
    if (uncertain.values().removeIf(s -> s.endsAtNanos <= nowNanos)) {
      endedAt = nowNanos;
    }
  }

  /** Forgets requests with unknown outcome, because the process that had them is gone. */
  void instanceChanged(long nowNanos) {
    uncertain.clear();
    endedAt = nowNanos;
  }

  /** Tells whether no request was in execution at any time since then. */
  boolean isIdleSince(long sinceNanos) {
    return count() == 0 && endedAt < sinceNanos;
  }

  /** Returns when no counted request starts any more. */
  long startsUntil() {
    return all().mapToLong(Sent::startsUntilNanos).max().orElse(Long.MIN_VALUE);
  }

  /** Returns when all counted requests have passed their deadline. */
  long endsAt() {
    return all().mapToLong(Sent::endsAtNanos).max().orElse(Long.MIN_VALUE);
  }

  private Stream<Sent> all() {
    return Stream.concat(awaited.values().stream(), uncertain.values().stream());
  }

  int count() {
    return awaited.size() + uncertain.size();
  }
}
