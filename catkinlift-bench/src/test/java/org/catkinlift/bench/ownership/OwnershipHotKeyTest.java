package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.stream.IntStream;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.routing.KeyHasher;
import org.junit.jupiter.api.Test;

/**
 * Guards against giving a hot key to another upstream while the holder of its slot may serve it.
 */
final class OwnershipHotKeyTest {
  private static final int SLOTS = 32;
  private static final Duration SETTLE = Duration.ofSeconds(5);
  private static final Duration LOAD_AVERAGED = Duration.ofSeconds(31);

  /** The clock reading is then too old for a short grant, but the upstream is not lost yet. */
  private static final Duration CUT_BEFORE_OUTAGE_ENDS = Duration.ofMillis(500);

  private static final Duration OUTAGE_NOTICED = Duration.ofMillis(200);
  private static final double HOT_LOAD = 5;

  private final OwnershipWorld world =
      OwnershipWorlds.of(
          new ServiceKind.Keyed(SLOTS, CutOffRule.hold(), GrantChecking.checked()), 1, 3, 3, 4);

  private void report(ImmutableMap<String, Double> keyLoads) {
    ImmutableList<UpstreamLoad> loads =
        world.upstreams().stream()
            .map(
                u ->
                    new UpstreamLoad(
                        u.definition().id(),
                        "run",
                        u.definition().concurrencyLimit(),
                        0,
                        0,
                        u.slots().keySet().stream().collect(toImmutableMap(s -> s, s -> 1.0)),
                        keyLoads))
            .collect(toImmutableList());
    world.coordinator("zone1").orElseThrow().handle(new ControlEvent.LoadReported(loads));
  }

  private static String keyOf(int slot) {
    return IntStream.range(0, 10_000)
        .mapToObj(i -> "key-" + i)
        .filter(k -> KeyHasher.slotOf(k, SLOTS) == slot)
        .findFirst()
        .orElseThrow();
  }

  private boolean isLogged(EventCode code, String field, String value) {
    return world.checks().log().stream()
        .anyMatch(e -> e.code() == code && value.equals(e.fields().get(field)));
  }

  /**
   * The holder's long grant of the slot includes the key, which got a number of its own after the
   * last grant that the holder could have received.
   */
  @Test
  void hotKeyOfCutOffHolderWaitsForTheGrantOfItsSlot() {
    world.advance(SETTLE);
    report(ImmutableMap.of());
    world.advance(LOAD_AVERAGED);
    world.platform().setDown(true);
    world.advance(SETTLE);
    FakeUpstream holder = world.upstreams().getFirst();
    int slot = holder.slots().keySet().iterator().next();
    String key = keyOf(slot);
    world.network().cut(ImmutableSet.of(holder.definition().id().value()));
    world.advance(CUT_BEFORE_OUTAGE_ENDS);
    world.platform().setDown(false);
    world.advance(OUTAGE_NOTICED);
    report(ImmutableMap.of(key, HOT_LOAD));
    world.advance(SETTLE);

    assertThat(isLogged(EventCode.KEY_OVERRIDE_ADDED, DecisionEvent.KEY_FIELD, key)).isTrue();
    assertThat(holder.owns(slot)).isTrue();
    assertThat(
            isLogged(EventCode.SLOT_RELEASED, DecisionEvent.UNIT_FIELD, DecisionEvent.keyUnit(key)))
        .isFalse();
  }
}
