package org.catkinlift.ranges;

import java.time.Duration;

/** Decides when the next map is planned. Confined to the control thread. */
final class PlanSchedule {
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration DELAY_AFTER_MOVE = Duration.ofMillis(50);

  /**
   * The least time between two plans, for each range of the map. Each version of the map is sent to
   * every host.
   */
  private static final Duration MIN_INTERVAL_PER_RANGE = Duration.ofNanos(250_000);

  private long nextPlanNanos;
  private long earliestPlanNanos;

  /** Makes a plan due, because a map was read that may not fit the upstreams. */
  void mapRead(long nowNanos) {
    nextPlanNanos = nowNanos;
    earliestPlanNanos = nowNanos;
  }

  boolean isDue(long nowNanos) {
    return nowNanos >= nextPlanNanos && nowNanos >= earliestPlanNanos;
  }

  /** Records that a map with some number of ranges was planned. */
  void planned(int ranges, long nowNanos) {
    nextPlanNanos = nowNanos + INTERVAL.toNanos();
    earliestPlanNanos = nowNanos + MIN_INTERVAL_PER_RANGE.multipliedBy(ranges).toNanos();
  }

  /** Records that keys have their new holder; a plan follows soon, so that others may move. */
  void moveEnded(long nowNanos) {
    nextPlanNanos = Math.min(nextPlanNanos, nowNanos + DELAY_AFTER_MOVE.toNanos());
  }

  /** Makes a plan due as soon as possible, because upstreams joined, left or changed. */
  void upstreamsChanged() {
    nextPlanNanos = Long.MIN_VALUE;
  }
}
