package org.catkinlift.ownership;

import java.time.Duration;

/** Decides when an upstream that does not answer is considered lost. */
final class LostUpstreamRule {
  private static final Duration LOST_AFTER = Duration.ofSeconds(1);

  /**
   * A minimum number of unanswered requests is required as well, because after a pause of the
   * coordinator the latest answer is old only because no request was sent.
   */
  private static final int MIN_UNANSWERED_REQUESTS = 4;

  private LostUpstreamRule() {}

  /**
   * Returns whether an upstream is lost.
   *
   * @param answeredAt the time of its latest answer, or of the first request if it has never
   *     answered
   * @param unansweredRequests the number of requests sent since then
   * @param nowNanos the current time
   */
  static boolean isLost(long answeredAt, int unansweredRequests, long nowNanos) {
    return unansweredRequests >= MIN_UNANSWERED_REQUESTS
        && nowNanos - answeredAt > LOST_AFTER.toNanos();
  }
}
