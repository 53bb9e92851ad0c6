package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against two owners and lost assignments under each fault and each pair of faults. */
final class OwnershipFaultTest {
  private static final Duration SETTLE = Duration.ofSeconds(15);

  /** The faults by name; each one leaves it to time to end it. */
  private static final ImmutableMap<String, Consumer<OwnershipWorld>> FAULTS =
      ImmutableMap.<String, Consumer<OwnershipWorld>>builder()
          .put("lost answers", w -> w.platform().loseAnswers(4))
          .put("paused coordinator", w -> w.coordinator("zone1").ifPresent(FakeHost::pause))
          .put("frozen upstream", w -> w.upstreams().getFirst().setFrozen(true))
          .put("lost coordinator", w -> w.coordinator("zone1").ifPresent(FakeHost::lose))
          .put("delayed grants", w -> w.network().delay("up1-0", Duration.ofMillis(2500)))
          .put("delayed heartbeats", w -> w.network().delay("host1-2", Duration.ofMillis(2500)))
          .put("platform outage", w -> w.platform().setDown(true))
          .put("zone cut off", w -> w.network().cut(w.nodes("zone1")))
          .put("host cut off", w -> w.network().cut(ImmutableSet.of("host1-1")))
          .buildOrThrow();

  private static OwnershipWorld world(CutOffRule rule, GrantChecking checking) {
    var kind = new ServiceKind.Keyed(32, rule, checking);
    OwnershipWorld world = OwnershipWorlds.of(kind, 2, 3, 6, 4);
    skewClocks(world);
    world.advance(Duration.ofSeconds(8));
    return world;
  }

  /** The largest difference of rates that the clock margin covers. */
  private static void skewClocks(OwnershipWorld world) {
    for (int i = 0; i < world.hosts().size(); i++) {
      world.hosts().get(i).setClockRate(i % 2 == 0 ? 1.0 : 1.0099);
      world.upstreams().get(i).setClockRate(i % 2 == 0 ? 1.0 : 1.0099);
    }
  }

  private static void run(OwnershipWorld world, String first, String second) {
    FAULTS.get(first).accept(world);
    world.advance(Duration.ofMillis(700));
    FAULTS.get(second).accept(world);
    world.advance(Duration.ofSeconds(5));
    OwnershipFaults.healAll(world);
    world.advance(SETTLE);
  }

  @Test
  void noPairOfFaultsMakesTwoOwnersAndAllSlotsAreServedAfterwards() {
    for (CutOffRule rule : List.of(CutOffRule.hold(), CutOffRule.lapse())) {
      for (GrantChecking checking : List.of(GrantChecking.checked(), GrantChecking.unchecked())) {
        for (String first : FAULTS.keySet()) {
          for (String second : FAULTS.keySet()) {
            OwnershipWorld world = world(rule, checking);
            run(world, first, second);
            String name = first + ", then " + second + ", " + rule + ", " + checking;
            assertWithMessage(name).that(world.checks().violations()).isEmpty();
            assertWithMessage(name)
                .that(world.servedSlots().cardinality())
                .isEqualTo(world.slotCount());
          }
        }
      }
    }
  }
}
