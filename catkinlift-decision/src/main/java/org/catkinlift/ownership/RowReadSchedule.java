package org.catkinlift.ownership;

/** Decides when a daemon reads its cell's row again. */
final class RowReadSchedule {
  private static final long URGENT_INTERVAL_NANOS = 250_000_000L;
  private static final long HOLDER_INTERVAL_NANOS = 2_000_000_000L;

  /**
   * Most daemons do not hold the role. With 19,000 daemons, a read every 10 s would use the
   * platform's entire request budget.
   */
  private static final long OBSERVER_INTERVAL_NANOS = 30_000_000_000L;

  private long readAt = Long.MIN_VALUE / 4;
  private boolean readRequested;

  boolean isDue(boolean urgent, boolean holder, long nowNanos) {
    long interval =
        urgent || readRequested
            ? URGENT_INTERVAL_NANOS
            : holder ? HOLDER_INTERVAL_NANOS : OBSERVER_INTERVAL_NANOS;
    if (nowNanos - readAt < interval) {
      return false;
    }
    readAt = nowNanos;
    readRequested = false;
    return true;
  }

  /** Requests an early read, to find out whether the platform answers. */
  void requestRead() {
    readRequested = true;
  }
}
