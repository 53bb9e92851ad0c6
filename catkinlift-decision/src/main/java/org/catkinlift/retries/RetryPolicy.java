package org.catkinlift.retries;

import java.time.Duration;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.catkinlift.retries.RetryDecision.GiveUp;
import org.catkinlift.retries.RetryDecision.Reroute;
import org.catkinlift.retries.RetryDecision.Retry;

/** Decides whether a request is retried. */
public final class RetryPolicy {
  /**
   * A lost dispatcher is replaced within this time. A planned handover of the coordinator role
   * takes up to 1.5 s; a limit of 1 s caused refusals during rolling restarts.
   */
  private static final Duration MAX_REROUTE_WAIT = Duration.ofSeconds(3);

  private static final int MAX_ATTEMPTS = 3;

  /**
   * Doubles with each attempt; short compared with the 16 ms in which most requests are answered.
   */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(5);

  private RetryPolicy() {}

  /**
   * Decides what happens to a request after an attempt.
   *
   * <p>An at-most-once request is sent again only after {@link Outcome.NotRun}. If the last attempt
   * reached the wrong dispatcher or owner, a request that may be sent again is rerouted whatever
   * the number of attempts, a repeatable one even if an earlier attempt may have run: after the
   * loss of a dispatcher, all three attempts can end before its successor is known.
   *
   * @param requestClass whether the request may be executed more than once
   * @param attemptsMade the attempts so far, at least 1
   * @param outcome the outcome of all attempts so far, see {@link #combine}
   * @param last the outcome of the last attempt
   * @param remaining the time until the caller's deadline
   * @param budget the retry budget of the service
   * @param nowNanos the time
   * @return the decision
   */
  public static RetryDecision decide(
      RequestClass requestClass,
      int attemptsMade,
      Outcome outcome,
      Outcome last,
      Duration remaining,
      RetryBudget budget,
      long nowNanos) {
    if (wasMisrouted(last) && mayRetry(requestClass, outcome) && remaining.isPositive()) {
      return new Reroute(remaining.compareTo(MAX_REROUTE_WAIT) < 0 ? remaining : MAX_REROUTE_WAIT);
    }
    Duration delay = delayAfter(attemptsMade, outcome);
    if (!mayRetry(requestClass, outcome)
        || attemptsMade >= MAX_ATTEMPTS
        || delay.compareTo(remaining) >= 0) {
      return new GiveUp(outcome);
    }
    if (!budget.tryTake(nowNanos)) {
      return new GiveUp(budgetExhausted(outcome));
    }
    return new Retry(delay);
  }

  /**
   * Returns the outcome of a request from those of two successive attempts.
   *
   * <p>Once an attempt may have run, the request is never reported as not run, even if a later
   * attempt is refused.
   *
   * @param earlier the outcome of the earlier attempts
   * @param later the outcome of the last attempt
   * @return the combined outcome
   */
  public static Outcome combine(Outcome earlier, Outcome later) {
    return switch (later) {
      case Outcome.Answered answered -> answered;
      case Outcome.Unknown unknown -> unknown;
      case Outcome.NotRun notRun -> earlier instanceof Outcome.Unknown ? earlier : notRun;
    };
  }

  /** Returns whether the attempt was refused because its dispatcher or owner has changed. */
  private static boolean wasMisrouted(Outcome outcome) {
    return switch (outcome) {
      case Outcome.NotRun notRun ->
          switch (notRun.code()) {
            case DISPATCHER_UNREACHABLE, STALE_EPOCH -> true;
            case BAD_REQUEST,
                UNKNOWN_SERVICE,
                NO_OWNER,
                QUEUE_FULL,
                DEADLINE_TOO_SHORT,
                DEADLINE_PASSED,
                UPSTREAM_SHED,
                CONNECT_FAILED,
                ZONE_UNAVAILABLE,
                RETRY_BUDGET_EXHAUSTED,
                STOPPING,
                CONNECTION_LOST,
                ANSWER_OVERDUE ->
                false;
          };
      case Outcome.Answered answered -> false;
      case Outcome.Unknown unknown -> false;
    };
  }

  private static boolean mayRetry(RequestClass requestClass, Outcome outcome) {
    return switch (outcome) {
      case Outcome.Answered answered -> false;
      case Outcome.NotRun notRun -> isRetryable(notRun.code());
      case Outcome.Unknown unknown -> isRepeatable(requestClass);
    };
  }

  private static boolean isRepeatable(RequestClass requestClass) {
    return switch (requestClass) {
      case RequestClass.Repeatable repeatable -> true;
      case RequestClass.AtMostOnce atMostOnce -> false;
    };
  }

  private static boolean isRetryable(RefusalCode code) {
    return switch (code) {
      case NO_OWNER,
          DISPATCHER_UNREACHABLE,
          QUEUE_FULL,
          UPSTREAM_SHED,
          STALE_EPOCH,
          CONNECT_FAILED,
          CONNECTION_LOST,
          ANSWER_OVERDUE ->
          true;
      case BAD_REQUEST,
          UNKNOWN_SERVICE,
          DEADLINE_TOO_SHORT,
          DEADLINE_PASSED,
          ZONE_UNAVAILABLE,
          RETRY_BUDGET_EXHAUSTED,
          STOPPING ->
          false;
    };
  }

  private static Duration delayAfter(int attemptsMade, Outcome outcome) {
    Duration backoff = INITIAL_BACKOFF.multipliedBy(1L << Math.min(attemptsMade - 1, MAX_ATTEMPTS));
    return switch (outcome) {
      case Outcome.NotRun notRun when notRun.retryAfter().compareTo(backoff) > 0 ->
          notRun.retryAfter();
      case Outcome.NotRun notRun -> backoff;
      case Outcome.Answered answered -> backoff;
      case Outcome.Unknown unknown -> backoff;
    };
  }

  private static Outcome budgetExhausted(Outcome outcome) {
    return switch (outcome) {
      case Outcome.NotRun notRun ->
          Outcome.notRun(RefusalCode.RETRY_BUDGET_EXHAUSTED, notRun.retryAfter());
      case Outcome.Answered answered -> answered;
      case Outcome.Unknown unknown -> unknown;
    };
  }
}
