package org.catkinlift.ranges;

import java.time.Duration;

/** Decides when the next map is planned. Confined to the control thread. */
final class PlanSchedule {
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration DELAY_AFTER_MOVE = Duration.ofMillis(50);

  /**
   * The least time between two plans, for each range of the map and each host, since every version
   * of the map is sent to every host. A range takes 16 bytes, so this is 49 Mbit/s.
   */
  private static final Duration MIN_INTERVAL_PER_RANGE_AND_HOST = Duration.ofNanos(2_600);

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

  /**
   * Records that a map was planned.
   *
   * @param ranges the number of its ranges
   * @param hosts the number of hosts that it is sent to
   */
  void planned(int ranges, int hosts, long nowNanos) {
    Duration minInterval = MIN_INTERVAL_PER_RANGE_AND_HOST.multipliedBy(ranges).multipliedBy(hosts);
    nextPlanNanos = nowNanos + INTERVAL.toNanos();
    earliestPlanNanos = nowNanos + minInterval.toNanos();
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
