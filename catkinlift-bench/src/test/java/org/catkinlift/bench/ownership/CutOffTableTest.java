package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.function.Consumer;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards each cell of the table of cut-offs in section 3.4 of the design. */
final class CutOffTableTest {
  private static final int SLOTS = 64;
  private static final Duration TARGET = Duration.ofSeconds(3);
  private static final Duration NEVER = Duration.ofSeconds(15);

  private static OwnershipWorld world(CutOffRule rule) {
    var kind = new ServiceKind.Keyed(SLOTS, rule, GrantChecking.checked());
    OwnershipWorld world = OwnershipWorlds.of(kind, 3, 3, 9, 4);
    world.advance(Duration.ofSeconds(15));
    return world;
  }

  private static Unavailability after(OwnershipWorld world, Consumer<OwnershipWorld> fault) {
    fault.accept(world);
    var gaps = new Unavailability(world);
    gaps.advance(NEVER);
    assertThat(world.checks().violations()).isEmpty();
    return gaps;
  }

  private static void outage(OwnershipWorld world) {
    world.platform().setDown(true);
    world.advance(Duration.ofSeconds(8));
  }

  private static void loseZone(OwnershipWorld world, String zone) {
    world.hosts().stream()
        .filter(h -> h.self().zone().value().equals(zone))
        .forEach(FakeHost::lose);
    world.upstreams(zone).forEach(FakeUpstream::lose);
  }

  private static void loseDaemonThatDoesNotCoordinate(OwnershipWorld world) {
    world.hosts().stream()
        .filter(h -> h.self().zone().value().equals("zone1") && !h.hasAuthority())
        .findFirst()
        .orElseThrow()
        .lose();
  }

  @Test
  void platformDownForAllChangesNothing() {
    for (CutOffRule rule : new CutOffRule[] {CutOffRule.hold(), CutOffRule.lapse()}) {
      Unavailability gaps = after(world(rule), CutOffTableTest::outage);
      assertThat(gaps.longest()).isEqualTo(Duration.ZERO);
    }
  }

  @Test
  void lapseUpstreamLostDuringAnOutageFailsOver() {
    OwnershipWorld world = world(CutOffRule.lapse());
    outage(world);
    Unavailability gaps = after(world, w -> w.upstreams().getFirst().lose());
    assertThat(gaps.longest()).isLessThan(TARGET);
    assertThat(gaps.servedShare()).isEqualTo(1.0);
  }

  @Test
  void zoneCutOffFromOthersThatReachesThePlatformKeepsItsSlots() {
    for (CutOffRule rule : new CutOffRule[] {CutOffRule.hold(), CutOffRule.lapse()}) {
      OwnershipWorld world = world(rule);
      var before = world.owners();
      ImmutableSet<String> zone = world.nodes("zone1");
      Unavailability gaps = after(world, w -> w.network().cutFromPeers(zone));
      assertThat(gaps.longest()).isLessThan(TARGET);
      assertThat(world.owners()).isEqualTo(before);
    }
  }

  @Test
  void zoneCutOffFromAllGoesOnUnderHold() {
    OwnershipWorld world = world(CutOffRule.hold());
    var before = world.owners();
    Unavailability gaps = after(world, w -> w.network().cut(w.nodes("zone1")));
    assertThat(gaps.longest()).isEqualTo(Duration.ZERO);
    assertThat(world.owners()).isEqualTo(before);
  }

  @Test
  void zoneCutOffFromAllStopsUnderLapseAndOthersTakeOver() {
    OwnershipWorld world = world(CutOffRule.lapse());
    Unavailability gaps = after(world, w -> w.network().cut(w.nodes("zone1")));
    assertThat(gaps.longest()).isLessThan(TARGET);
    assertThat(gaps.servedShare()).isEqualTo(1.0);
    assertThat(world.owners().values().stream().filter(u -> u.value().startsWith("up1"))).isEmpty();
  }

  @Test
  void lostZoneIsTakenOverOnlyUnderLapse() {
    OwnershipWorld lapse = world(CutOffRule.lapse());
    Unavailability gaps = after(lapse, w -> loseZone(w, "zone1"));
    assertThat(gaps.longest()).isLessThan(TARGET);
    assertThat(gaps.servedShare()).isEqualTo(1.0);

    OwnershipWorld hold = world(CutOffRule.hold());
    assertThat(after(hold, w -> loseZone(w, "zone1")).servedShare()).isLessThan(0.7);
    var lost = ImmutableSet.of(ZoneName.of("zone1"));
    hold.accept(hold.configuration().toBuilder().lostZones(lost).build());
    assertThat(after(hold, w -> {}).servedShare()).isEqualTo(1.0);
  }

  @Test
  void oneLostDaemonIsReplacedInItsCell() {
    for (CutOffRule rule : new CutOffRule[] {CutOffRule.hold(), CutOffRule.lapse()}) {
      Unavailability coordinator =
          after(world(rule), w -> w.coordinator("zone1").orElseThrow().lose());
      assertThat(coordinator.longest()).isLessThan(TARGET);
      assertThat(coordinator.servedShare()).isEqualTo(1.0);
      Unavailability other = after(world(rule), CutOffTableTest::loseDaemonThatDoesNotCoordinate);
      assertThat(other.longest()).isLessThan(TARGET);
      assertThat(other.servedShare()).isEqualTo(1.0);
    }
  }

  @Test
  void voterLostDuringAnOutageStopsOnlyLapse() {
    OwnershipWorld hold = world(CutOffRule.hold());
    outage(hold);
    Unavailability gaps = after(hold, CutOffTableTest::loseDaemonThatDoesNotCoordinate);
    assertThat(gaps.longest()).isLessThan(TARGET);
    assertThat(gaps.servedShare()).isEqualTo(1.0);

    OwnershipWorld lapse = world(CutOffRule.lapse());
    outage(lapse);
    Unavailability stopped = after(lapse, CutOffTableTest::loseDaemonThatDoesNotCoordinate);
    assertThat(stopped.servedShare()).isLessThan(0.7);
    lapse.platform().setDown(false);
    assertThat(after(lapse, w -> {}).servedShare()).isEqualTo(1.0);
  }

  @Test
  void coordinatorLostDuringAnOutageLeavesLongGrantsOnlyUnderHold() {
    OwnershipWorld hold = world(CutOffRule.hold());
    outage(hold);
    Unavailability gaps = after(hold, w -> w.coordinator("zone1").orElseThrow().lose());
    assertThat(gaps.servedShare()).isGreaterThan(0.7);
    hold.platform().setDown(false);
    after(hold, w -> w.advance(Duration.ofMinutes(11)));
    assertThat(after(hold, w -> {}).servedShare()).isEqualTo(1.0);

    OwnershipWorld lapse = world(CutOffRule.lapse());
    outage(lapse);
    Unavailability stopped = after(lapse, w -> w.coordinator("zone1").orElseThrow().lose());
    assertThat(stopped.servedShare()).isLessThan(0.7);
    lapse.platform().setDown(false);
    assertThat(after(lapse, w -> {}).servedShare()).isEqualTo(1.0);
  }

  @Test
  void theLastZoneTakesOverTheLapseSlotsOfAllOthers() {
    OwnershipWorld world = world(CutOffRule.lapse());
    Unavailability gaps =
        after(
            world,
            w -> {
              loseZone(w, "zone2");
              loseZone(w, "zone3");
            });
    assertThat(gaps.longest()).isLessThan(TARGET);
    assertThat(gaps.servedShare()).isEqualTo(1.0);
  }
}
