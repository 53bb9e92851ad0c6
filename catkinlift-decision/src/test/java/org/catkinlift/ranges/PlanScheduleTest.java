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
  private static final int BYTES_PER_RANGE = 16;

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
  void mapsOfManyHostsTakeLessThanAThirdOfALink() {
    long bytes = 95L * BYTES_PER_RANGE * 1_000 * plansInASecond(1_000, 95);

    // Links of 200 Mbit/s.
    assertThat(bytes * 8).isAtMost(200_000_000L / 3);
  }
}
