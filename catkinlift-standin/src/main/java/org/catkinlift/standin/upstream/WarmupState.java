package org.catkinlift.standin.upstream;

/**
 * The warm-up progress of an upstream, and its transitions on completed requests and overload.
 *
 * <p>A cold upstream warms up only by completing requests. Overload while it is not warm makes it
 * slower and resets it to one execution slot.
 *
 * @param slots the number of requests that it currently executes concurrently
 * @param fullSlots the number of requests that it executes concurrently when warm
 * @param slowdown the factor applied to execution times; 1 when warm
 * @param completed the number of requests completed since the last warm-up step or reset
 */
public record WarmupState(int slots, int fullSlots, double slowdown, int completed) {

  private static final double COLD_SLOWDOWN = 4;
  private static final double MAX_SLOWDOWN = 10;
  private static final double SPEEDUP_PER_STEP = 0.6;
  private static final double SLOWDOWN_PER_SHED = 1.25;
  private static final double WARM_THRESHOLD = 1.05;
  private static final int COMPLETIONS_PER_SLOT = 2;

  /**
   * Returns the state of a warm upstream.
   *
   * @param fullSlots its execution slots
   * @return the state
   */
  public static WarmupState warm(int fullSlots) {
    return new WarmupState(fullSlots, fullSlots, 1, 0);
  }

  /**
   * Returns the state of a cold upstream.
   *
   * @param fullSlots its execution slots when warm
   * @return the state
   */
  public static WarmupState cold(int fullSlots) {
    return new WarmupState(1, fullSlots, COLD_SLOWDOWN, 0);
  }

  /**
   * Returns whether the upstream is fully warm.
   *
   * @return true if it is
   */
  public boolean isWarm() {
    return slots == fullSlots && slowdown == 1;
  }

  /**
   * Returns the state after a completed request.
   *
   * @return the next state
   */
  public WarmupState afterCompletion() {
    if (isWarm()) {
      return this;
    }
    int count = completed + 1;
    if (count < slots * COMPLETIONS_PER_SLOT) {
      return new WarmupState(slots, fullSlots, slowdown, count);
    }
    double faster = slowdown * SPEEDUP_PER_STEP;
    return new WarmupState(
        Math.min(slots + 1, fullSlots), fullSlots, faster < WARM_THRESHOLD ? 1 : faster, 0);
  }

  /**
   * Returns the state after a request was shed.
   *
   * @return the next state; the same if the upstream is warm
   */
  public WarmupState afterOverload() {
    if (isWarm()) {
      return this;
    }
    return new WarmupState(1, fullSlots, Math.min(slowdown * SLOWDOWN_PER_SHED, MAX_SLOWDOWN), 0);
  }
}
