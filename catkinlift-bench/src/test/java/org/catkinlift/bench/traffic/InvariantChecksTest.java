package org.catkinlift.bench.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Function;
import org.catkinlift.bench.Site;
import org.catkinlift.bench.traffic.WorkRecords.Invariant;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.junit.jupiter.api.Test;

/** Shows for each invariant a deliberate defect that its check finds. */
final class InvariantChecksTest {
  private static final long SEED = 1;
  private static final double HIGH_LOAD = 0.95;

  @Test
  void decisionsUnderTestKeepAllInvariants() {
    TrafficRun<?> run = run(world -> RouterPath.of(world, SEED));
    assertThat(run.records().firstViolations()).isEmpty();
    assertThat(run.keepsInvariants()).isTrue();
  }

  @Test
  void limitAboveTheExecutionSlotsIsFound() {
    TrafficRun<?> run = run(world -> RouterPath.withExtraLimit(world, SEED, 1));
    assertThat(run.records().firstViolations().get(Invariant.BEARABLE_WORK))
        .contains("requests and bears");
  }

  @Test
  void retryOfAtMostOnceRequestAfterTimeoutIsFound() {
    TrafficRun<?> run = run(world -> new PlainPath(world, new PlainRule.OwnerWithRetries(), SEED));
    assertThat(run.records().firstViolations().get(Invariant.AT_MOST_ONCE)).contains("ran 2 times");
  }

  @Test
  void falseNotRunBeforeAndAfterTheRunIsFound() {
    TrafficRun<?> before = run(world -> lying(world, Duration.ZERO));
    assertThat(before.records().firstViolations().get(Invariant.TRUE_NOT_RUN))
        .contains("ran after its caller was told");
    TrafficRun<?> after = run(world -> lying(world, Duration.ofMillis(100)));
    assertThat(after.records().firstViolations().get(Invariant.TRUE_NOT_RUN))
        .contains("ran, its caller was told");
  }

  @Test
  void crossedAnswerIsFoundAndTheDecisionsUnderTestDropIt() {
    TrafficRun<?> plain = crossed(world -> new PlainPath(world, new PlainRule.Owner(), SEED));
    assertThat(plain.records().firstViolations().get(Invariant.OWN_ANSWER))
        .contains("got the answer to");
    TrafficRun<RouterPath> router = crossed(world -> RouterPath.of(world, SEED));
    assertThat(router.records().firstViolations()).isEmpty();
    assertThat(router.path().links().stream().mapToInt(UpstreamLink::dropped).sum()).isEqualTo(1);
  }

  @Test
  void callerWithoutReplyIsFound() {
    TrafficRun<?> run = run(world -> (request, reply) -> {});
    assertThat(run.keepsInvariants()).isFalse();
  }

  @Test
  void rampThatIsTooSteepIsFound() {
    var world = TrafficWorld.keyed(Site.TAVUA);
    FakeUpstream upstream = world.upstream(0);
    upstream.restart();
    var workload =
        new Workload(TrafficWorld.SERVICE, Duration.ofMillis(20), Duration.ofSeconds(1), 0, SEED);
    upstream.receive(1, 1, workload.request(1), answer -> {});
    assertThat(world.records().firstViolations()).isEmpty();
    upstream.receive(2, 2, workload.request(2), answer -> {});
    assertThat(world.records().largestExcess()).isEqualTo(1);
  }

  /** Tells each caller "not run", at once or after the request had time to run. */
  private static RequestPath lying(TrafficWorld world, Duration delay) {
    var plain = new PlainPath(world, new PlainRule.Owner(), SEED);
    var lie = CallerReply.of(Outcome.notRun(RefusalCode.QUEUE_FULL, Duration.ZERO));
    return (request, reply) -> {
      world.timers().after(delay, () -> reply.accept(lie));
      Consumer<CallerReply> ignored = answer -> {};
      plain.submit(request, ignored);
    };
  }

  private static <P extends RequestPath> TrafficRun<P> run(Function<TrafficWorld, P> paths) {
    return execute(TrafficRun.orders(TrafficWorld.keyed(Site.ZARQA), paths, SEED));
  }

  private static <P extends RequestPath> TrafficRun<P> crossed(Function<TrafficWorld, P> paths) {
    TrafficRun<P> run = TrafficRun.orders(TrafficWorld.keyed(Site.ZARQA), paths, SEED);
    run.world().upstream(0).crossNextAnswer();
    return execute(run);
  }

  private static <P extends RequestPath> TrafficRun<P> execute(TrafficRun<P> run) {
    run.start(HIGH_LOAD);
    run.advance(Duration.ofSeconds(2));
    run.finish();
    return run;
  }
}
