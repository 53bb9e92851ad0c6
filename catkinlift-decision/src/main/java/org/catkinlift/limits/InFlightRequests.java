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
final class InFlightRequests {
  /** An upstream counts the deadline from the receipt of the request, which is a little later. */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(50);

  private final Map<Long, SentRequest> awaitingResponse = new HashMap<>();
  private final Map<Long, SentRequest> unknownOutcome = new HashMap<>();
  private long lastEndedNanos = Long.MIN_VALUE;

  private record SentRequest(long latestStartNanos, long latestEndNanos) {}

  void sent(long attempt, long latestStartNanos, long deadlineNanos) {
    awaitingResponse.put(
        attempt, new SentRequest(latestStartNanos, deadlineNanos + DEADLINE_MARGIN.toNanos()));
  }

  boolean contains(long attempt) {
    return awaitingResponse.containsKey(attempt) || unknownOutcome.containsKey(attempt);
  }

  boolean isAwaitingResponse(long attempt) {
    return awaitingResponse.containsKey(attempt);
  }

  void ended(long attempt, long nowNanos) {
    awaitingResponse.remove(attempt);
    unknownOutcome.remove(attempt);
    lastEndedNanos = nowNanos;
  }

  void outcomeUnknown(long attempt) {
    SentRequest sent = awaitingResponse.remove(attempt);
    if (sent != null) {
      unknownOutcome.put(attempt, sent);
    }
  }

  void expire(long nowNanos) {
    if (unknownOutcome.values().removeIf(s -> s.latestEndNanos <= nowNanos)) {
      lastEndedNanos = nowNanos;
    }
  }

  /** Forgets requests with unknown outcome, because the process that had them is gone. */
  void instanceChanged(long nowNanos) {
    unknownOutcome.clear();
    lastEndedNanos = nowNanos;
  }

  /** Tells whether no request was in execution at any time since then. */
  boolean isIdleSince(long sinceNanos) {
    return count() == 0 && lastEndedNanos < sinceNanos;
  }

  /** Returns when no counted request starts any more. */
  long latestStartNanos() {
    return all().mapToLong(SentRequest::latestStartNanos).max().orElse(Long.MIN_VALUE);
  }

  /** Returns when all counted requests have passed their deadline. */
  long latestEndNanos() {
    return all().mapToLong(SentRequest::latestEndNanos).max().orElse(Long.MIN_VALUE);
  }

  private Stream<SentRequest> all() {
    return Stream.concat(awaitingResponse.values().stream(), unknownOutcome.values().stream());
  }

  int count() {
    return awaitingResponse.size() + unknownOutcome.size();
  }
}
