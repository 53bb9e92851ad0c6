package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.stream.Stream;
import org.catkinlift.bench.Site;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a hand-over of a dispatcher that is slow or that exceeds the limit. */
final class DispatchHandOverTest {
  /** A dispatcher that never gets a report knows after 10 s that earlier requests have ended. */
  private static final Duration START = Duration.ofSeconds(12);

  private static final Duration SHORT_START = Duration.ofSeconds(5);
  private static final Duration OBSERVED = Duration.ofSeconds(6);

  /** A tick of each of three control threads, and messages. */
  private static final Duration AT_ONCE = Duration.ofMillis(200);

  private static final Duration ASSUMED_FULL = Duration.ofMillis(500);
  private static final Duration WITHOUT_REPORT = Duration.ofMillis(1_500);
  private static final int SEEDS = 4;
  private static final int CHANGES = 10;

  private static final ImmutableList<ReleaseFate> FATES =
      ImmutableList.of(
          new ReleaseFate.Delivered(),
          new ReleaseFate.Lost(),
          new ReleaseFate.Late(Duration.ofMillis(300)),
          new ReleaseFate.Late(Duration.ofMillis(1_700)),
          new ReleaseFate.Repeated(Duration.ofMillis(900)));

  static Stream<Arguments> sitesAndChecking() {
    return Stream.of(Site.values())
        .flatMap(
            s ->
                Stream.of(GrantChecking.checked(), GrantChecking.unchecked())
                    .map(c -> Arguments.of(s, c)));
  }

  static Stream<Arguments> sitesAndFates() {
    return Stream.of(Site.values()).flatMap(s -> FATES.stream().map(f -> Arguments.of(s, f)));
  }

  @ParameterizedTest
  @MethodSource("sitesAndChecking")
  void plannedHandOverStartsAtOnce(Site site, GrantChecking checking) {
    Duration with = longestHandOver(site, checking, new ReleaseFate.Delivered());
    Duration without = longestHandOver(site, checking, new ReleaseFate.Lost());
    assertThat(with).isLessThan(AT_ONCE);
    assertThat(without)
        .isAtLeast(checking instanceof GrantChecking.Checked ? ASSUMED_FULL : WITHOUT_REPORT);
  }

  private static Duration longestHandOver(Site site, GrantChecking checking, ReleaseFate fate) {
    var world = new HandOverWorld(site, checking, fate, 1);
    world.advance(START, world.limit() / 2);
    world.forgetHandOvers();
    world.retire(ImmutableSet.of(dispatcher(world).id()));
    world.advance(OBSERVED, world.limit() / 2);
    assertThat(world.handOvers()).isNotEmpty();
    assertThat(world.violations()).isEmpty();
    return world.handOvers().stream().max(Duration::compareTo).orElseThrow();
  }

  private static FakeHost dispatcher(HandOverWorld world) {
    return world.world().hosts().stream()
        .filter(h -> !h.hasAuthority() && !h.leases().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  /** Hosts go and return by plan while all upstreams are full. */
  @ParameterizedTest
  @MethodSource("sitesAndFates")
  void limitHoldsWhateverHappensToTheReleases(Site site, ReleaseFate fate) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      var world = new HandOverWorld(site, GrantChecking.checked(), fate, seed);
      world.advance(SHORT_START, world.limit() + 2);
      for (int i = 0; i < CHANGES; i++) {
        world.retire(someHosts(world));
        Duration pause = Duration.ofMillis(world.random().nextInt(50, 2_500));
        world.advance(pause, world.limit() + 2);
      }
      assertThat(world.handOvers()).isNotEmpty();
      assertWithMessage("seed %s", seed).that(world.violations()).isEmpty();
    }
  }

  private static ImmutableSet<HostId> someHosts(HandOverWorld world) {
    return world.world().hosts().stream()
        .filter(h -> world.random().nextInt(3) == 0)
        .map(FakeHost::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** A crash sends no release: the upstream counts as full for the longest start time. */
  @ParameterizedTest
  @EnumSource(Site.class)
  void crashFallsBackToTheTimeBound(Site site) {
    var world = new HandOverWorld(site, GrantChecking.checked(), new ReleaseFate.Delivered(), 1);
    world.advance(SHORT_START, world.limit() + 2);
    world.forgetHandOvers();
    FakeHost lost = dispatcher(world);
    lost.leases().forEach(l -> world.stopped(l.upstream(), lost.id()));
    lost.lose();
    world.advance(OBSERVED, world.limit() + 2);
    assertThat(world.handOvers()).isNotEmpty();
    assertThat(world.handOvers().stream().min(Duration::compareTo).orElseThrow())
        .isAtLeast(ASSUMED_FULL);
    assertThat(world.violations()).isEmpty();
  }

  /** Guards against a coordinator that counts on releases of others only. */
  @Test
  void stoppedCoordinatorHandsItsOwnUpstreamsOver() {
    var world =
        new HandOverWorld(Site.TAVUA, GrantChecking.checked(), new ReleaseFate.Delivered(), 1);
    world.advance(SHORT_START, world.limit() + 2);
    world.forgetHandOvers();
    FakeHost coordinator = world.world().coordinator("zone1").orElseThrow();
    assertThat(coordinator.leases()).isNotEmpty();
    coordinator.stop();
    world.advance(OBSERVED, world.limit() + 2);
    assertThat(coordinator.hasHandedOver()).isTrue();
    assertThat(world.violations()).isEmpty();
  }
}
