package org.catkinlift.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Counts the requests that the upstream may be executing: those that await a response, and those
 * whose outcome is unknown.
 *
 * <p>A request with an unknown outcome is counted until the upstream reports how it ended, the
 * upstream process is found to have been replaced, or the deadline of the request has passed.
 * Confined to one event loop.
 */
final class InFlightRequests {
  /**
   * Added to each deadline because an upstream measures it from the receipt of the request, which
   * is slightly later than sending.
   */
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

  /** Discards requests with unknown outcome, because the process that executed them has ended. */
  void instanceChanged(long nowNanos) {
    unknownOutcome.clear();
    lastEndedNanos = nowNanos;
  }

  /** Returns whether no request was in flight at any time since the given time. */
  boolean isIdleSince(long sinceNanos) {
    return count() == 0 && lastEndedNanos < sinceNanos;
  }

  /** Returns the time after which no counted request can start any more. */
  long latestStartNanos() {
    return allRequests().mapToLong(SentRequest::latestStartNanos).max().orElse(Long.MIN_VALUE);
  }

  /** Returns the time after which all counted requests have passed their deadline. */
  long latestEndNanos() {
    return allRequests().mapToLong(SentRequest::latestEndNanos).max().orElse(Long.MIN_VALUE);
  }

  private Stream<SentRequest> allRequests() {
    return Stream.concat(awaitingResponse.values().stream(), unknownOutcome.values().stream());
  }

  int count() {
    return awaitingResponse.size() + unknownOutcome.size();
  }
}
