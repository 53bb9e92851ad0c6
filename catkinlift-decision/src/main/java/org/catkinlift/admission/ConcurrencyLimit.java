package org.catkinlift.admission;

/**
 * Bounds the requests that one daemon has at one upstream.
 *
 * <p>Load pattern: several daemons send to an upstream with few slots and a short queue, without
 * seeing each other. Each narrows its share when the upstream reports a queue and widens it when
 * the upstream reports none, so that the sum stays near the slots and no request is reset for lack
 * of room. Confined to one thread.
 */
public final class ConcurrencyLimit {
  private static final double MIN_LIMIT = 1;
  private static final double INITIAL_LIMIT = 2;
  private static final double INCREASE = 0.5;
  private static final double DECREASE_FACTOR = 0.6;

  private final int slots;
  private double limit;

  /**
   * Creates a limit.
   *
   * @param slots the requests that the upstream executes at once
   */
  public ConcurrencyLimit(int slots) {
    this.slots = Math.max(1, slots);
    this.limit = Math.min(INITIAL_LIMIT, this.slots);
  }

  /**
   * Returns the limit.
   *
   * @return the number of requests, at least 1
   */
  public int value() {
    return (int) limit;
  }

  /**
   * Takes what the upstream reported with an answer.
   *
   * @param load the report
   */
  public void loadReported(ReportedLoad load) {
    if (load.waiting() >= slots) {
      limit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
    } else if (load.waiting() == 0) {
      limit = Math.min(slots, limit + INCREASE);
    }
  }

  /** Takes that the upstream had no room for a request. */
  public void upstreamFull() {
    limit = MIN_LIMIT;
  }
}
