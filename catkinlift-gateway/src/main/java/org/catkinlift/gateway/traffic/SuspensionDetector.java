package org.catkinlift.gateway.traffic;

import java.time.Duration;

/**
 * Notices that the host was suspended: the monotonic clock may stand still meanwhile, while the
 * time of day goes on. Confined to one thread.
 */
final class SuspensionDetector {
  /** Larger steps of the time of day count as a suspension. */
  private static final Duration MAX_STEP = Duration.ofSeconds(1);

  private static final long NANOS_PER_MILLISECOND = Duration.ofMillis(1).toNanos();

  private long lastOffsetMillis;
  private boolean isStarted;

  /** Returns whether the time of day has advanced much more than the monotonic clock. */
  boolean wasSuspended(long nowNanos, long nowMillis) {
    long offsetMillis = nowMillis - nowNanos / NANOS_PER_MILLISECOND;
    boolean wasSuspended = isStarted && offsetMillis - lastOffsetMillis > MAX_STEP.toMillis();
    isStarted = true;
    lastOffsetMillis = offsetMillis;
    return wasSuspended;
  }
}
