package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against two holders of a key under any combination of faults, as observed at the
 * upstreams.
 */
final class OwnershipRandomFaultTest {
  private static final int SEEDS = 300;

  /** A seed in which a host is suspended while it connects for a grant. */
  private static final long SEED_OF_SUSPENDED_SENDER = 262;

  private static final double FAULT_PROBABILITY = 0.05;
  private static final Duration RUN = Duration.ofSeconds(60);

  @Test
  void eachKeyHasOneHolderWithoutFaults() {
    var simulation = new OwnershipSimulation(1, 0);
    simulation.load().stopChanging();
    simulation.run(Duration.ofSeconds(10));

    assertThat(simulation.violations()).isEmpty();
    assertThat(simulation.heldShare()).isEqualTo(1.0);
  }

  @Test
  void noKeyHasTwoHoldersUnderRandomFaults() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      var simulation = new OwnershipSimulation(seed, FAULT_PROBABILITY);
      new RandomFaults(simulation).run(RUN);
      assertWithMessage("seed %s%s", seed, traceOfFirstViolation(simulation))
          .that(simulation.violations())
          .isEmpty();
    }
  }

  /** Guards against a next holder before the end of a hold whose grant arrived late. */
  @Test
  void noKeyHasTwoHoldersOnSlowLinks() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertOneHolderOnSlowLinks(seed);
    }
  }

  /** Guards against a grant that a host sends after its suspension, long after its decision. */
  @Test
  void noGrantIsSentAfterASuspension() {
    assertOneHolderOnSlowLinks(SEED_OF_SUSPENDED_SENDER);
  }

  /** Guards against two holders among the many first grants after a restart of all hosts. */
  @Test
  void noKeyHasTwoHoldersAfterRestartsOfAllHosts() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      var simulation = new OwnershipSimulation(seed, FAULT_PROBABILITY);
      RandomFaults.withSlowLinks(simulation).runWithRestartsOfAllHosts(RUN);
      assertWithMessage("seed %s%s", seed, traceOfFirstViolation(simulation))
          .that(simulation.violations())
          .isEmpty();
    }
  }

  /**
   * Guards against a release that counts as confirmed, or a grant that counts as not sent, because
   * of a late copy of the answer to an earlier call on the same connection.
   */
  @Test
  void noKeyHasTwoHoldersWhenAnswersArriveTwice() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      var simulation =
          new OwnershipSimulation(seed, FAULT_PROBABILITY, UpstreamBehavior.ANSWERS_TWICE);
      new RandomFaults(simulation).run(RUN);
      assertWithMessage("seed %s%s", seed, traceOfFirstViolation(simulation))
          .that(simulation.violations())
          .isEmpty();
    }
  }

  /** The check above fails if answers to different calls share a connection. */
  @Test
  void answersThatArriveTwiceOnKeptConnectionsBreakOwnership() {
    long violations = 0;
    for (long seed = 1; seed <= SEEDS && violations == 0; seed++) {
      var simulation =
          new OwnershipSimulation(seed, FAULT_PROBABILITY, UpstreamBehavior.ANSWERS_TWICE);
      simulation.network().keepConnections();
      new RandomFaults(simulation).run(RUN);
      violations = simulation.violations().size();
    }
    assertThat(violations).isGreaterThan(0);
  }

  private static void assertOneHolderOnSlowLinks(long seed) {
    var simulation = new OwnershipSimulation(seed, FAULT_PROBABILITY);
    RandomFaults.withSlowLinks(simulation).run(RUN);
    assertWithMessage("seed %s%s", seed, traceOfFirstViolation(simulation))
        .that(simulation.violations())
        .isEmpty();
  }

  @Test
  void allKeysAreHeldAgainAfterFaultsEnd() {
    for (long seed = 1; seed <= 30; seed++) {
      var simulation = new OwnershipSimulation(seed, 0);
      new RandomFaults(simulation).run(Duration.ofSeconds(20));
      simulation.load().stopChanging();
      simulation.run(Duration.ofSeconds(40));

      assertWithMessage("seed %s", seed).that(simulation.heldShare()).isEqualTo(1.0);
    }
  }

  private static String traceOfFirstViolation(OwnershipSimulation simulation) {
    return simulation.violations().stream()
        .findFirst()
        .map(v -> "\n" + simulation.trace().describe(v.key()))
        .orElse("");
  }
}
