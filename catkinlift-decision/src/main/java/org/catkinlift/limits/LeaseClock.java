package org.catkinlift.limits;

import java.time.Duration;
import org.catkinlift.model.Epoch;

/**
 * Knows until when this daemon may send requests to an upstream, and how many requests of earlier
 * dispatchers the upstream may still be executing.
 *
 * <p>After a lease that does not continue the previous one, the upstream is assumed to be full
 * until the longest {@code start before} of an earlier dispatcher has passed. After that its own
 * report counts. Confined to one event loop.
 */
final class LeaseClock {
  /** The longest time between sending a request and its start at the upstream. */
  static final Duration LONGEST_START_BEFORE = Duration.ofMillis(500);

  /**
   * An upstream that has not reported by then gets one request at a time, so that its keys are
   * served within 3 s of the loss of the earlier dispatcher.
   */
  private static final Duration REPORT_EXPECTED_WITHIN = Duration.ofMillis(1_500);

  /** Without any report, requests of the earlier dispatcher are past their deadline by then. */
  private static final Duration EARLIER_WORK_ENDS_WITHIN = Duration.ofSeconds(10);

  private Epoch epoch = Epoch.NONE;
  private boolean held;
  private boolean lost;
  private long expiresAtNanos;
  private long startedAtNanos;
  private boolean reported;
  private int reportedEarlier;

  /** Takes a new or renewed lease; one that is older than the latest is ignored. */
  void granted(Epoch newEpoch, Duration remaining, long nowNanos) {
    if (epoch.isAfter(newEpoch)) {
      return;
    }
    if (!continues(newEpoch, nowNanos)) {
      startedAtNanos = nowNanos;
      reported = false;
    }
    epoch = newEpoch;
    expiresAtNanos = nowNanos + remaining.toNanos();
    held = true;
    lost = false;
  }

  /** No other daemon can have sent requests since the previous grant of this daemon. */
  private boolean continues(Epoch newEpoch, long nowNanos) {
    return isCurrent(nowNanos) || (held && newEpoch.equals(epoch));
  }

  void lost() {
    held = false;
    lost = true;
  }

  boolean isCurrent(long nowNanos) {
    return held && nowNanos < expiresAtNanos;
  }

  /** Tells whether another daemon dispatches now, so that waiting for a lease makes no sense. */
  boolean isLost() {
    return lost;
  }

  void reportedEarlier(int requests, long nowNanos) {
    if (nowNanos - startedAtNanos < LONGEST_START_BEFORE.toNanos()) {
      return;
    }
    reported = true;
    reportedEarlier = requests;
  }

  /** Returns how many requests of earlier dispatchers the upstream may be executing. */
  int earlierRequests(int limit, long nowNanos) {
    long elapsed = nowNanos - startedAtNanos;
    if (elapsed < LONGEST_START_BEFORE.toNanos()) {
      return limit;
    }
    if (reported) {
      return reportedEarlier;
    }
    if (elapsed < REPORT_EXPECTED_WITHIN.toNanos()) {
      return limit;
    }
    return elapsed < EARLIER_WORK_ENDS_WITHIN.toNanos() ? limit - 1 : 0;
  }
}
