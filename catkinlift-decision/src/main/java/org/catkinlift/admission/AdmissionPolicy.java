package org.catkinlift.admission;

import java.time.Duration;

/**
 * Decides whether a request may wait for its upstream or is rejected at once.
 *
 * <p>Load pattern: a burst, or one hot key, with more requests than the upstream can answer in
 * time. A request that would wait too long is rejected while its caller still has time to retry;
 * the queue then holds only requests that will be served.
 */
public final class AdmissionPolicy {
  /**
   * Number of requests that may wait although they will miss their target, for each request allowed
   * at the upstream.
   */
  private static final int MAX_LATE_PER_SLOT = 1;

  /** Share of the time to the deadline within which a late request must be expected to complete. */
  private static final double MAX_LATE_DEADLINE_SHARE = 0.6;

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(60);

  private AdmissionPolicy() {}

  /** The decision about one request. */
  public sealed interface Decision {
    /** The request may wait. */
    record Admit() implements Decision {}

    /**
     * The request is rejected.
     *
     * @param retryAfter the delay after which the caller should retry
     */
    record Reject(Duration retryAfter) implements Decision {}
  }

  /**
   * Decides about a request.
   *
   * @param urgency the priority, target and deadline of the request
   * @param waitNanos the expected wait until the upstream starts to execute the request
   * @param ahead the number of waiting requests ahead of it
   * @param limit the number of requests that this daemon may have at the upstream
   * @param serviceNanos the expected service time at the upstream
   * @param nowNanos the current time
   * @param jitter a random number from 0 to 1 that spreads the retries of callers rejected together
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
    return reject(urgency, waitNanos, nowNanos, jitter);
  }

  /**
   * Rejects a request.
   *
   * @param urgency the priority, target and deadline of the request
   * @param waitNanos the wait that the request would have had
   * @param nowNanos the current time
   * @param jitter a random number from 0 to 1 that spreads the retries of callers rejected together
   * @return the decision
   */
  static Decision.Reject reject(Urgency urgency, long waitNanos, long nowNanos, double jitter) {
    long remainingNanos = urgency.deadlineNanos() - nowNanos;
    return new Decision.Reject(retryAfter(waitNanos, remainingNanos, jitter));
  }

  /**
   * Returns the delay after which a caller that is rejected now should retry.
   *
   * @param waitNanos the wait that the request would have had
   * @param remainingNanos the time until the deadline of the caller
   * @param jitter a random number from 0 to 1
   * @return the delay, at most a third of the remaining time but at least 1 ms
   */
  public static Duration retryAfter(long waitNanos, long remainingNanos, double jitter) {
    long delayNanos = (long) (waitNanos * (0.5 + jitter)) + MIN_RETRY_AFTER.toNanos();
    return Duration.ofNanos(Math.max(1_000_000, Math.min(delayNanos, remainingNanos / 3)));
  }
}
