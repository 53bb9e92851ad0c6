package org.catkinlift.ownership;

import java.time.Duration;
import org.catkinlift.control.PlatformRequest.Reply;

/** Knows whether the platform answers this daemon. */
final class PlatformReachability {
  /** An outage counts only after this time, so that one lost answer causes no long promise. */
  private static final Duration OUTAGE_AFTER = Duration.ofSeconds(2);

  private static final long NEVER = Long.MIN_VALUE / 4;

  private long failingSince = NEVER;
  private long lastAnswerAt = NEVER;

  void onReply(Reply reply, long nowNanos) {
    if (reply instanceof Reply.NoAnswer) {
      failingSince = failingSince == NEVER ? nowNanos : failingSince;
      return;
    }
    failingSince = NEVER;
    lastAnswerAt = nowNanos;
  }

  /** Tells whether the latest call had an answer, or none was made yet. */
  boolean isReachable() {
    return failingSince == NEVER;
  }

  /** Tells whether an outage has lasted long enough to ask for long promises. */
  boolean isOutage(long nowNanos) {
    return !isReachable() && nowNanos - failingSince >= OUTAGE_AFTER.toNanos();
  }

  /** Returns when the platform last answered. */
  long lastAnswerAt() {
    return lastAnswerAt;
  }
}
