package org.catkinlift.admission;

import java.time.Duration;

/**
 * Limits the retries of one service from one daemon to a share of its requests, in every window.
 *
 * <p>Load pattern: upstreams that fail or shed under overload, where each retry adds to the load.
 * Both are counted in slots of a sliding window: a decaying sum would permit a burst of retries and
 * the sustained rate after it within one window, so that only half of the limit could be used.
 * Confined to one thread.
 */
public final class ServiceRetryBudget {
  private static final int SLOTS_PER_WINDOW = 40;

  /** Retries are counted over one slot more than a window, since slots and windows do not align. */
  private static final int SLOTS = SLOTS_PER_WINDOW + 1;

  private final double ratio;
  private final long slotNanos;
  private final int[] retries = new int[SLOTS];
  private final int[] requests = new int[SLOTS];

  private long currentSlot;
  private int retriesInWindow;
  private int requestsInWindow;

  /**
   * Creates a budget.
   *
   * @param ratio the allowed retries per request
   * @param window the time over which both are counted
   * @param nowNanos the current time
   */
  public ServiceRetryBudget(double ratio, Duration window, long nowNanos) {
    this.ratio = ratio;
    this.slotNanos = Math.max(1, window.toNanos() / SLOTS_PER_WINDOW);
    this.currentSlot = Math.floorDiv(nowNanos, slotNanos);
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowNanos the current time
   */
  public void requestSeen(long nowNanos) {
    advance(nowNanos);
    requests[index(currentSlot)]++;
    requestsInWindow++;
  }

  /**
   * Takes a retry from the budget.
   *
   * @param fixedAllowance this daemon's share of the retries that are allowed regardless of the
   *     number of requests, in one window
   * @param nowNanos the current time
   * @return false if the budget is exhausted
   */
  public boolean tryAcquire(double fixedAllowance, long nowNanos) {
    advance(nowNanos);
    // The oldest slot lies partly before the window; its requests are not counted on.
    int requestsCounted = requestsInWindow - requests[index(currentSlot + 1)];
    if (retriesInWindow + 1 > requestsCounted * ratio + fixedAllowance) {
      return false;
    }
    retries[index(currentSlot)]++;
    retriesInWindow++;
    return true;
  }

  private void advance(long nowNanos) {
    long slot = Math.floorDiv(nowNanos, slotNanos);
    long first = Math.max(currentSlot + 1, slot - SLOTS + 1);
    for (long passed = first; passed <= slot; passed++) {
      int index = index(passed);
      retriesInWindow -= retries[index];
      requestsInWindow -= requests[index];
      retries[index] = 0;
      requests[index] = 0;
    }
    currentSlot = Math.max(currentSlot, slot);
  }

  private static int index(long slot) {
    return Math.floorMod(slot, SLOTS);
  }
}
