package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against two holders of a key under any combination of faults, as observed at the
 * upstreams.
 */
final class OwnershipRandomFaultTest {
  private static final int SEEDS = 300;

  private static final int SEEDS_WITH_WORK = 40;
  private static final int SEEDS_WITH_VIOLATION = 5;
  private static final int SEEDS_WITH_FEW_UPSTREAMS = 100;
  private static final int FEW_UPSTREAMS = 3;
  private static final int UPSTREAMS = 10;

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
   * Guards against two holders, and fencing tokens that go back, after the store has lost writes.
   */
  @Test
  void noKeyHasTwoHoldersAfterRestoresOfTheStore() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      var simulation = new OwnershipSimulation(seed, FAULT_PROBABILITY);
      new RandomFaults(simulation).runWithRestores(RUN);
      assertNoViolation(seed, simulation);
    }
  }

  /** As above, with late calls and restarts of all hosts among the other faults. */
  @Test
  void noKeyHasTwoHoldersAfterRestoresOfTheStoreOnSlowLinks() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      var simulation = new OwnershipSimulation(seed, FAULT_PROBABILITY);
      RandomFaults.withSlowLinks(simulation).runWithRestores(RUN);
      assertNoViolation(seed, simulation);
    }
  }

  /** Guards against a grant of a key on which its last holder is still at work. */
  @Test
  void noKeyIsGrantedDuringWorkAfterRestoresOfTheStore() {
    assertNoGrantDuringWork(UpstreamBehavior.STRICT, s -> new RandomFaults(s).runWithRestores(RUN));
  }

  /** Guards against keys that nobody serves any more. */
  @Test
  void allKeysAreHeldAgainAfterRestoresOfTheStore() {
    for (long seed = 1; seed <= 30; seed++) {
      var simulation = new OwnershipSimulation(seed, 0);
      new RandomFaults(simulation).runWithRestores(Duration.ofSeconds(20));
      simulation.load().stopChanging();
      simulation.run(Duration.ofSeconds(40));

      assertWithMessage("seed %s", seed).that(simulation.heldShare()).isEqualTo(1.0);
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

  /** Guards against a grant of a key on which its last holder is still at work. */
  @Test
  void noKeyIsGrantedDuringWorkUnderRandomFaults() {
    assertNoGrantDuringWork(UpstreamBehavior.STRICT, s -> new RandomFaults(s).run(RUN));
  }

  /** As above, with many grants and releases that arrive late. */
  @Test
  void noKeyIsGrantedDuringWorkOnSlowLinks() {
    assertNoGrantDuringWork(UpstreamBehavior.STRICT, s -> RandomFaults.withSlowLinks(s).run(RUN));
  }

  /** As above, with coordinators that know nothing of earlier releases. */
  @Test
  void noKeyIsGrantedDuringWorkAfterRestartsOfAllHosts() {
    assertNoGrantDuringWork(
        UpstreamBehavior.STRICT, s -> RandomFaults.withSlowLinks(s).runWithRestartsOfAllHosts(RUN));
  }

  /** As above, with late copies of answers. */
  @Test
  void noKeyIsGrantedDuringWorkWhenAnswersArriveTwice() {
    assertNoGrantDuringWork(UpstreamBehavior.ANSWERS_TWICE, s -> new RandomFaults(s).run(RUN));
  }

  /** As above, with few upstreams, so that keys come back to upstreams that they have just left. */
  @Test
  void noKeyIsGrantedDuringWorkAmongFewUpstreams() {
    for (long seed = 1; seed <= SEEDS_WITH_FEW_UPSTREAMS; seed++) {
      OwnershipSimulation simulation =
          withWork(seed, UpstreamBehavior.ANSWERS_TWICE, FEW_UPSTREAMS);
      RandomFaults.withSlowLinks(simulation).run(RUN);
      assertNoViolation(seed, simulation);
    }
  }

  /** The checks above fail if releases are confirmed during the work on their keys. */
  @Test
  void releasesThatAreConfirmedDuringWorkBreakOwnership() {
    Set<OwnershipViolation.Rule> brokenRules = new HashSet<>();
    for (long seed = 1; seed <= SEEDS_WITH_VIOLATION; seed++) {
      OwnershipSimulation simulation =
          withWork(seed, UpstreamBehavior.CONFIRMS_RELEASES_DURING_WORK, UPSTREAMS);
      new RandomFaults(simulation).run(RUN);
      simulation.violations().forEach(v -> brokenRules.add(v.rule()));
    }
    assertThat(brokenRules).containsExactly(OwnershipViolation.Rule.NO_WORK_ELSEWHERE);
  }

  private static void assertNoGrantDuringWork(
      UpstreamBehavior behavior, Consumer<OwnershipSimulation> run) {
    for (long seed = 1; seed <= SEEDS_WITH_WORK; seed++) {
      OwnershipSimulation simulation = withWork(seed, behavior, UPSTREAMS);
      run.accept(simulation);
      assertNoViolation(seed, simulation);
    }
  }

  private static OwnershipSimulation withWork(
      long seed, UpstreamBehavior behavior, int upstreamCount) {
    var simulation = new OwnershipSimulation(seed, FAULT_PROBABILITY, behavior, upstreamCount);
    simulation.startRequests();
    return simulation;
  }

  private static void assertNoViolation(long seed, OwnershipSimulation simulation) {
    assertWithMessage("seed %s%s", seed, traceOfFirstViolation(simulation))
        .that(simulation.violations())
        .isEmpty();
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
