package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against two holders of a key, fencing tokens that go back, and keys that stay without a
 * holder, after a restore of the store in the states that a coordinator can be in.
 */
final class StoreRestoreTest {
  private static final int SEEDS = 20;
  private static final Duration COPY_AGE = Duration.ofSeconds(4);
  private static final Duration SETTLED = Duration.ofSeconds(15);

  /** Calls without a response outlast a term, so that the coordinator loses the role first. */
  private static final Duration SHORT_OUTAGE = Duration.ofMillis(500);

  /** The coordinator sees the new era in the response to a call that it sends within its term. */
  private static final Duration NO_OUTAGE = Duration.ZERO;

  private static final Duration UNLISTED = Duration.ofMillis(600);

  /** The longest time until moves in progress have ended. */
  private static final Duration MOVE = Duration.ofSeconds(3);

  private static final Duration LONG_OUTAGE = Duration.ofSeconds(5);

  /** The end of all earlier grants, and first grants of all keys. */
  private static final Duration RECOVERY = Duration.ofSeconds(20);

  /** Longer than any grant, so that all keys are renewed. */
  private static final Duration HELD_THROUGHOUT = Duration.ofSeconds(12);

  @Test
  void idleCoordinatorKeepsAllKeysHeld() {
    forEachSeed(
        simulation -> {
          simulation.load().stopChanging();
          simulation.run(SETTLED);
          restoreAfter(simulation, NO_OUTAGE);
          assertAllKeysHeldThroughout(simulation);
        });
  }

  /** Keys move at the time of the restore, so that some of them have no holder for a moment. */
  @Test
  void writingCoordinatorKeepsAllKeysHeld() {
    forEachSeed(
        simulation -> {
          simulation.run(SETTLED);
          simulation.upstreams().get(0).unlist(UNLISTED);
          simulation.run(UNLISTED.dividedBy(2));
          restoreAfter(simulation, NO_OUTAGE);
          simulation.load().stopChanging();
          simulation.run(MOVE);
          assertAllKeysHeldThroughout(simulation);
        });
  }

  /** The role lapses in the outage, so nobody knows whether the map is the last one. */
  @Test
  void shortOutageWithARestore() {
    forEachSeed(
        simulation -> {
          simulation.run(SETTLED);
          restoreAfter(simulation, SHORT_OUTAGE);
        });
  }

  /** Another daemon takes the role, whose map may be out of date. */
  @Test
  void partitionedCoordinatorIsReplacedWithoutASecondHolder() {
    forEachSeed(
        simulation -> {
          simulation.run(SETTLED);
          simulation.hosts().stream()
              .filter(SimulatedHost::holdsRole)
              .forEach(h -> h.setDisconnectedFromStore(true));
          restoreAfter(simulation, SHORT_OUTAGE);
          simulation.run(RECOVERY);
          simulation.hosts().forEach(h -> h.setDisconnectedFromStore(false));
        });
  }

  @Test
  void restartOfAllHostsWithARestore() {
    forEachSeed(
        simulation -> {
          simulation.run(SETTLED);
          simulation.hosts().forEach(h -> h.crash(LONG_OUTAGE));
          restoreAfter(simulation, LONG_OUTAGE);
        });
  }

  @Test
  void twoRestoresInARow() {
    forEachSeed(
        simulation -> {
          simulation.run(SETTLED);
          restoreAfter(simulation, SHORT_OUTAGE);
          simulation.run(Duration.ofMillis(300));
          restoreAfter(simulation, LONG_OUTAGE);
          simulation.run(Duration.ofSeconds(3));
          restoreAfter(simulation, SHORT_OUTAGE);
        });
  }

  private static void forEachSeed(Consumer<OwnershipSimulation> scenario) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      var simulation = new OwnershipSimulation(seed, 0);
      scenario.accept(simulation);
      simulation.load().stopChanging();
      simulation.run(RECOVERY);
      assertThat(simulation.violations()).isEmpty();
      assertThat(simulation.heldShare()).isEqualTo(1.0);
      assertThat(simulation.store().newestMap().nextFence())
          .isGreaterThan(FencingTokens.firstOf(1) - 1);
    }
  }

  private static void restoreAfter(OwnershipSimulation simulation, Duration outage) {
    simulation.store().setDown(true);
    simulation.run(outage);
    simulation.store().restore(COPY_AGE);
    simulation.store().setDown(false);
  }

  private static void assertAllKeysHeldThroughout(OwnershipSimulation simulation) {
    Duration step = Duration.ofMillis(250);
    for (Duration at = step; at.compareTo(HELD_THROUGHOUT) < 0; at = at.plus(step)) {
      simulation.run(step);
      assertThat(simulation.heldShare()).isEqualTo(1.0);
    }
  }
}
