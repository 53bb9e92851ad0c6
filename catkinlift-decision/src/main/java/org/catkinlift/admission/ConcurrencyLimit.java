package org.catkinlift.admission;

/**
 * Limits the number of requests that one daemon has in flight at one upstream, by additive increase
 * and multiplicative decrease.
 *
 * <p>Load pattern: several daemons send independently to an upstream with few slots and a short
 * queue. Each lowers its limit when the upstream reports a queue and raises it when the upstream
 * reports none, so that the sum stays near the number of slots and no request is reset because the
 * queue is full. Confined to one thread.
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
   * @param slots the number of requests that the upstream executes concurrently
   */
  public ConcurrencyLimit(int slots) {
    this.slots = Math.max(1, slots);
    this.limit = Math.min(INITIAL_LIMIT, this.slots);
  }

  /** Returns the limit, at least 1. */
  public int value() {
    return (int) limit;
  }

  /**
   * Adjusts the limit to the load that the upstream reported with an answer.
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

  /** Lowers the limit to its minimum, because the upstream had no capacity for a request. */
  public void upstreamFull() {
    limit = MIN_LIMIT;
  }
}
