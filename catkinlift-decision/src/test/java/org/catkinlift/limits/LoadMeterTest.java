package org.catkinlift.limits;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class LoadMeterTest {
  private static final long MILLI = Duration.ofMillis(1).toNanos();
  private static final long HALF_LIFE = Duration.ofSeconds(30).toNanos();

  private final LoadMeter meter = new LoadMeter(0);

  @Test
  void steadyRateIsMeasuredAndHalvesAfterAHalfLife() {
    long end = 10 * HALF_LIFE;
    for (long now = 0; now <= end; now += 10 * MILLI) {
      meter.offered(3, "key", now);
    }
    assertThat(meter.slotLoads(end).get(3)).isWithin(1.0).of(100.0);
    assertThat(meter.slotLoads(end + HALF_LIFE).get(3)).isWithin(0.5).of(50.0);
  }

  @Test
  void weightsStayFiniteAfterDays() {
    meter.offered(1, "key", 0);
    long days = Duration.ofDays(3).toNanos();
    for (int i = 0; i < 100; i++) {
      meter.offered(2, "key", days + i * MILLI);
    }
    assertThat(meter.slotLoads(days + 100 * MILLI).keySet()).containsExactly(2);
    assertThat(meter.slotLoads(days + 100 * MILLI).get(2)).isWithin(0.1).of(100 / 43.28);
  }

  @Test
  void hotKeyIsFoundAmongManyColdOnesAndNotOverstated() {
    for (int i = 0; i < 20_000; i++) {
      meter.offered(1, i % 5 == 0 ? "hot" : "cold-" + i, i * MILLI);
    }
    long now = 20_000 * MILLI;
    var loads = meter.keyLoads(now);
    double total = meter.slotLoads(now).get(1);
    assertThat(Iterables.getFirst(loads.keySet(), "")).isEqualTo("hot");
    assertThat(loads.get("hot")).isAtMost(total / 5 * 1.01);
    assertThat(loads.get("hot")).isAtLeast(total / 5 * 0.95);
  }

  @Test
  void requestsWithoutSlotAreNotCounted() {
    meter.offered(-1, "", 0);
    assertThat(meter.slotLoads(0)).isEmpty();
  }
}
