package org.catkinlift.ownership;

import java.time.Duration;
import org.catkinlift.control.PlatformRequest.Reply;

/** Tracks whether the platform answers this daemon. */
final class PlatformReachability {
  /** The minimum duration of an outage, so that a single lost answer leads to no long promises. */
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

  /** Returns whether the latest call was answered or no call has ended yet. */
  boolean isReachable() {
    return failingSince == NEVER;
  }

  /** Returns whether the platform has not answered for long enough to request long promises. */
  boolean isOutage(long nowNanos) {
    return !isReachable() && nowNanos - failingSince >= OUTAGE_AFTER.toNanos();
  }

  /** Returns the time of the latest answer of the platform. */
  long lastAnswerAt() {
    return lastAnswerAt;
  }
}
