package org.catkinlift.bench.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Function;
import org.catkinlift.bench.Site;
import org.catkinlift.bench.traffic.InvariantChecker.Invariant;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.junit.jupiter.api.Test;

/**
 * Verifies that each invariant check detects a deliberate defect, and that the router under test
 * violates no invariant.
 */
final class InvariantCheckerTest {
  private static final long SEED = 1;
  private static final double HIGH_LOAD = 0.95;

  @Test
  void routerKeepsAllInvariants() {
    TrafficRun<?> run = run(simulation -> RouterPath.of(simulation, SEED));
    assertThat(run.invariantChecker().firstViolations()).isEmpty();
    assertThat(run.invariantsHold()).isTrue();
  }

  @Test
  void detectsLimitAboveExecutionSlots() {
    TrafficRun<?> run = run(simulation -> RouterPath.withExtraLimit(simulation, SEED, 1));
    assertThat(run.invariantChecker().firstViolations().get(Invariant.WITHIN_CAPACITY))
        .contains("requests in flight, above its capacity of");
  }

  @Test
  void detectsRetryOfAtMostOnceRequestAfterTimeout() {
    TrafficRun<?> run =
        run(
            simulation ->
                new BaselinePath(simulation, new BaselinePolicy.OwnerWithRetries(), SEED));
    assertThat(run.invariantChecker().firstViolations().get(Invariant.AT_MOST_ONCE))
        .contains("ran 2 times");
  }

  @Test
  void detectsFalseNotRunBeforeAndAfterExecution() {
    TrafficRun<?> before = run(simulation -> falselyReportingNotRun(simulation, Duration.ZERO));
    assertThat(before.invariantChecker().firstViolations().get(Invariant.CORRECT_NOT_RUN))
        .contains("ran after its caller was told");
    TrafficRun<?> after =
        run(simulation -> falselyReportingNotRun(simulation, Duration.ofMillis(100)));
    assertThat(after.invariantChecker().firstViolations().get(Invariant.CORRECT_NOT_RUN))
        .contains("ran before its caller was told");
  }

  @Test
  void detectsMismatchedAnswerThatTheRouterDrops() {
    TrafficRun<?> baseline =
        runWithMismatchedAnswer(
            simulation -> new BaselinePath(simulation, new BaselinePolicy.Owner(), SEED));
    assertThat(baseline.invariantChecker().firstViolations().get(Invariant.MATCHING_ANSWER))
        .contains("got the answer to");
    TrafficRun<RouterPath> router =
        runWithMismatchedAnswer(simulation -> RouterPath.of(simulation, SEED));
    assertThat(router.invariantChecker().firstViolations()).isEmpty();
    assertThat(router.path().links().stream().mapToInt(UpstreamLink::droppedAnswers).sum())
        .isEqualTo(1);
  }

  @Test
  void detectsCallerWithoutReply() {
    TrafficRun<?> run = run(simulation -> (request, reply) -> {});
    assertThat(run.invariantsHold()).isFalse();
  }

  @Test
  void detectsTooSteepRamp() {
    var simulation = TrafficSimulation.keyed(Site.TAVUA);
    FakeUpstream upstream = simulation.upstream(0);
    upstream.restart();
    var workload =
        new Workload(
            TrafficSimulation.SERVICE, Duration.ofMillis(20), Duration.ofSeconds(1), 0, SEED);
    upstream.receive(1, 1, workload.request(1), answer -> {});
    assertThat(simulation.invariantChecker().firstViolations()).isEmpty();
    upstream.receive(2, 2, workload.request(2), answer -> {});
    assertThat(simulation.invariantChecker().largestExcess()).isEqualTo(1);
  }

  /** Reports each request as not run after the delay, although it is executed. */
  private static RequestPath falselyReportingNotRun(TrafficSimulation simulation, Duration delay) {
    var baseline = new BaselinePath(simulation, new BaselinePolicy.Owner(), SEED);
    var notRun = CallerReply.of(Outcome.notRun(RefusalCode.QUEUE_FULL, Duration.ZERO));
    return (request, reply) -> {
      simulation.timers().after(delay, () -> reply.accept(notRun));
      Consumer<CallerReply> ignored = answer -> {};
      baseline.submit(request, ignored);
    };
  }

  private static <P extends RequestPath> TrafficRun<P> run(
      Function<TrafficSimulation, P> pathFactory) {
    return execute(TrafficRun.orders(TrafficSimulation.keyed(Site.ZARQA), pathFactory, SEED));
  }

  private static <P extends RequestPath> TrafficRun<P> runWithMismatchedAnswer(
      Function<TrafficSimulation, P> pathFactory) {
    TrafficRun<P> run = TrafficRun.orders(TrafficSimulation.keyed(Site.ZARQA), pathFactory, SEED);
    run.simulation().upstream(0).mismatchNextAnswer();
    return execute(run);
  }

  private static <P extends RequestPath> TrafficRun<P> execute(TrafficRun<P> run) {
    run.start(HIGH_LOAD);
    run.advance(Duration.ofSeconds(2));
    run.finish();
    return run;
  }
}
