package org.catkinlift.ownership;

import java.time.Duration;

/** Decides when an upstream that does not answer counts as lost. */
final class LostUpstreamRule {
  private static final Duration LOST_AFTER = Duration.ofSeconds(1);

  /**
   * A coordinator that was paused has old answers only because it did not ask, so the number of
   * unanswered requests counts too.
   */
  private static final int MIN_UNANSWERED_REQUESTS = 4;

  private LostUpstreamRule() {}

  /**
   * Tells whether an upstream is lost.
   *
   * @param answeredAt when it last answered, or when it was first asked
   * @param unansweredRequests the number of requests since then
   * @param nowNanos the time
   */
  static boolean isLost(long answeredAt, int unansweredRequests, long nowNanos) {
    return unansweredRequests >= MIN_UNANSWERED_REQUESTS
        && nowNanos - answeredAt > LOST_AFTER.toNanos();
  }
}
