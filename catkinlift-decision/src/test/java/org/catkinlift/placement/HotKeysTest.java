package org.catkinlift.placement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class HotKeysTest {

  /** Guards against losing a hot key among many others, and against unbounded memory. */
  @Test
  void aHotKeyIsFoundAmongManyOthers() {
    var keys = new HotKeys();
    for (int i = 0; i < 20_000; i++) {
      keys.add("key" + i, 1);
      keys.add("hot", 1);
    }
    ImmutableMap<String, Double> top = keys.drain();
    assertThat(top.size()).isAtMost(HotKeys.CAPACITY);
    assertThat(top.get("hot")).isWithin(100).of(20_000);
    assertThat(keys.drain()).isEmpty();
  }

  /** Guards against an average that follows noise or never follows a change. */
  @Test
  void averageIsHalfwayAfterOneHalfLife() {
    var average = new LoadAverage();
    average.add(1, 10, 0);
    average.add(1, 20, LoadAverage.HALF_LIFE.toNanos());
    assertThat(average.values().get(1)).isWithin(1e-9).of(15);
  }

  /** Guards against a lower bound that no placement can reach. */
  @Test
  void imbalanceFloorFollowsFromTheHeaviestKey() {
    var capacities = ImmutableMap.of(UpstreamId.of("a"), 2.0, UpstreamId.of("b"), 2.0);
    assertThat(Imbalance.floor(60, 100, capacities)).isWithin(1e-9).of(1.2);
    assertThat(Imbalance.floor(10, 100, capacities)).isEqualTo(1.0);
    assertThat(Imbalance.of(ImmutableMap.of(UpstreamId.of("a"), 3.0), capacities)).isEqualTo(2.0);
  }
}
