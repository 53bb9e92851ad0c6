package org.catkinlift.placement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class SlotBalancerTest {
  private static final UpstreamId A = UpstreamId.of("a");
  private static final UpstreamId B = UpstreamId.of("b");
  private static final int SLOTS_ON_A = 60;
  private static final int SLOTS_ON_B = 40;

  /**
   * Guards against a rebalance that stops between target and threshold because a budget is used up.
   */
  @Test
  void rebalancingContinuesUntilTheTarget() {
    var balancer = new SlotBalancer();
    var owners = new TreeMap<Integer, Optional<UpstreamId>>();
    for (int slot = 0; slot < SLOTS_ON_A + SLOTS_ON_B; slot++) {
      owners.put(slot, Optional.of(slot < SLOTS_ON_A ? A : B));
    }
    int steps = 0;
    while (true) {
      var moves = balancer.nextMoves(input(owners));
      if (moves.isEmpty()) {
        break;
      }
      assertThat(moves.size()).isAtMost(PlacementPlanner.budget(owners.size()));
      moves.forEach(m -> owners.put(m.slot(), Optional.of(m.to())));
      steps++;
    }
    long left = owners.values().stream().filter(o -> o.equals(Optional.of(A))).count();
    assertThat(steps).isGreaterThan(1);
    assertThat(left / 50.0).isAtMost(PlacementPlanner.REBALANCE_TARGET);
  }

  /**
   * Guards against a rebalance that never ends: once it has stopped, the threshold applies again.
   */
  @Test
  void imbalanceBelowTheThresholdStartsNoRebalancing() {
    var owners = new TreeMap<Integer, Optional<UpstreamId>>();
    for (int slot = 0; slot < SLOTS_ON_A + SLOTS_ON_B; slot++) {
      owners.put(slot, Optional.of(slot < 54 ? A : B));
    }
    assertThat(new SlotBalancer().nextMoves(input(owners))).isEmpty();
  }

  private static PlacementInput input(Map<Integer, Optional<UpstreamId>> owners) {
    var loads = ImmutableMap.<Integer, Double>builder();
    owners.keySet().forEach(s -> loads.put(s, 1.0));
    return new PlacementInput(
        ImmutableSortedMap.copyOf(owners),
        loads.buildOrThrow(),
        ImmutableMap.of(A, 4.0, B, 4.0),
        ImmutableSet.of());
  }
}
