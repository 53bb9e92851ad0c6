package org.catkinlift.admission;

import java.time.Duration;

/**
 * Decides whether a request may wait for its upstream or is rejected at once.
 *
 * <p>Load pattern: a burst, or one busy key, with more requests than the upstream can answer in
 * time. A request that would wait too long is rejected while its caller still has time to come
 * back; the queue then holds only requests that will be served.
 */
public final class AdmissionRule {
  /** Requests that may wait although they will be late, for each request at the upstream. */
  private static final int MAX_LATE_PER_SLOT = 1;

  /** Share of the time to the deadline within which a late request must be expected to end. */
  private static final double MAX_LATE_DEADLINE_SHARE = 0.6;

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(60);

  private AdmissionRule() {}

  /** Whether a request may wait. */
  public sealed interface Decision {
    /** The request waits. */
    record Admit() implements Decision {}

    /**
     * The request is rejected.
     *
     * @param retryAfter when its caller should come back
     */
    record Reject(Duration retryAfter) implements Decision {}
  }

  /**
   * Decides about a request.
   *
   * @param urgency when it must be answered
   * @param waitNanos how long it would wait until the upstream works on it
   * @param ahead the waiting requests that go before it
   * @param limit the requests that this daemon may have at the upstream
   * @param serviceNanos how long the upstream is expected to work
   * @param nowNanos the time
   * @param jitter a random number from 0 to 1, by which callers that are rejected together come
   *     back at different times
   * @return the decision
   */
  public static Decision decide(
      Urgency urgency,
      long waitNanos,
      int ahead,
      int limit,
      long serviceNanos,
      long nowNanos,
      double jitter) {
    if (urgency.isInTime(nowNanos, waitNanos + serviceNanos)) {
      return new Decision.Admit();
    }
    long remainingNanos = urgency.deadlineNanos() - nowNanos;
    boolean canMeetDeadline = waitNanos + serviceNanos <= remainingNanos * MAX_LATE_DEADLINE_SHARE;
    if (canMeetDeadline && ahead < limit * MAX_LATE_PER_SLOT) {
      return new Decision.Admit();
    }
    return new Decision.Reject(retryAfter(waitNanos, remainingNanos, jitter));
  }

  /**
   * Returns when a caller should come back that is rejected now.
   *
   * @param waitNanos the wait that it would have met
   * @param remainingNanos the time that the caller has left
   * @param jitter a random number from 0 to 1
   * @return at most a third of the time left
   */
  public static Duration retryAfter(long waitNanos, long remainingNanos, double jitter) {
    long delayNanos = (long) (waitNanos * (0.5 + jitter)) + MIN_RETRY_AFTER.toNanos();
    return Duration.ofNanos(Math.max(1_000_000, Math.min(delayNanos, remainingNanos / 3)));
  }
}
