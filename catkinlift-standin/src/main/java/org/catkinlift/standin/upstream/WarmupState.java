package org.catkinlift.standin.upstream;

/**
 * States how far an upstream has warmed up, and decides how it warms up or falls over.
 *
 * <p>A cold upstream warms up only by completing work. Work beyond what it can handle makes it
 * slower and takes its execution slots away again.
 *
 * @param slots the requests that it executes at once now
 * @param fullSlots the requests that it executes at once when warm
 * @param slowdown what execution times are multiplied by; 1 when warm
 * @param completed the requests completed since the last change of {@code slots}
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
   * Returns the state of an upstream that has just started cold.
   *
   * @param fullSlots its execution slots when warm
   * @return the state
   */
  public static WarmupState cold(int fullSlots) {
    return new WarmupState(1, fullSlots, COLD_SLOWDOWN, 0);
  }

  /**
   * Tells whether the upstream is fully warm.
   *
   * @return true if it is
   */
  public boolean isWarm() {
    return slots == fullSlots && slowdown == 1;
  }

  /**
   * Counts a completed request.
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
   * Reacts to work beyond what the upstream can handle.
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
