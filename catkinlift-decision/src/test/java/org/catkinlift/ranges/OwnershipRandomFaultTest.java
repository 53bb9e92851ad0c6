package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against two holders of a key under any combination of faults, as observed at the
 * upstreams.
 */
final class OwnershipRandomFaultTest {
  private static final int SEEDS = 300;
  private static final Duration RUN = Duration.ofSeconds(60);
  private static final Duration STEP = Duration.ofMillis(700);

  @Test
  void eachKeyHasOneHolderWithoutFaults() {
    var simulation = new OwnershipSimulation(1, 0);
    simulation.run(Duration.ofSeconds(10));

    assertThat(simulation.violations).isEmpty();
    assertThat(simulation.heldShare()).isEqualTo(1.0);
  }

  @Test
  void noKeyHasTwoHoldersUnderRandomFaults() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      var simulation = new OwnershipSimulation(seed, 0.05);
      runWithRandomFaults(simulation, RUN);
      assertWithMessage("seed %s", seed).that(simulation.violations).isEmpty();
    }
  }

  @Test
  void allKeysAreHeldAgainAfterFaultsEnd() {
    for (long seed = 1; seed <= 30; seed++) {
      var simulation = new OwnershipSimulation(seed, 0);
      runWithRandomFaults(simulation, Duration.ofSeconds(20));
      simulation.store.down = false;
      simulation.run(Duration.ofSeconds(40));

      assertWithMessage("seed %s", seed).that(simulation.heldShare()).isEqualTo(1.0);
    }
  }

  private static void runWithRandomFaults(OwnershipSimulation simulation, Duration length) {
    SplittableRandom random = simulation.random();
    long steps = length.dividedBy(STEP);
    for (long i = 0; i < steps; i++) {
      simulation.run(STEP);
      var host = simulation.hosts.get(random.nextInt(simulation.hosts.size()));
      var upstream = simulation.upstreams.get(random.nextInt(simulation.upstreams.size()));
      var duration = Duration.ofMillis(200 + random.nextInt(9_000));
      switch (random.nextInt(14)) {
        case 0 -> host.crash(duration);
        case 1 -> host.suspend(duration);
        case 2 -> host.disconnectedFromStore = !host.disconnectedFromStore;
        case 3 -> upstream.crash(duration);
        case 4 -> upstream.unlist(duration);
        case 5 -> upstream.disconnect(duration);
        case 6 -> simulation.store.down = !simulation.store.down;
        case 7 -> simulation.hosts.forEach(h -> h.crash(Duration.ofMillis(800)));
        default -> {}
      }
    }
    simulation.hosts.forEach(h -> h.disconnectedFromStore = false);
  }
}
