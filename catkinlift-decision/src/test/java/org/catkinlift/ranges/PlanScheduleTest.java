package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a coordinator that sends more versions of a large map than its link carries, and
 * against moves that wait for no reason where the map or the number of hosts is small.
 */
final class PlanScheduleTest {
  private static final Duration TICK = Duration.ofMillis(50);

  private final PlanSchedule schedule = new PlanSchedule();

  /** Returns how many plans are made in a second in which upstreams change all the time. */
  private int plansInASecond(int ranges, int hosts) {
    int plans = 0;
    for (long now = 0; now < Duration.ofSeconds(1).toNanos(); now += TICK.toNanos()) {
      schedule.upstreamsChanged();
      if (schedule.isDue(now)) {
        schedule.planned(ranges, hosts, now);
        plans++;
      }
    }
    return plans;
  }

  @Test
  void mapsOfFewHostsArePlannedInEachRound() {
    assertThat(plansInASecond(500, 11)).isEqualTo(20);
  }

  @Test
  void largeMapsOfManyHostsArePlannedNoMoreOftenThanHostsAskForThem() {
    // Hosts ask every 250 ms.
    assertThat(plansInASecond(1_000, 95)).isAtMost(4);
    assertThat(plansInASecond(2_000, 95)).isAtMost(2);
  }
}
