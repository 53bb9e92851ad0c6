package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/**
 * Models callers that repeat their requests: the load rises to ten times the normal load for five
 * seconds.
 *
 * <p>Goodput is the number of answers in the worst second of the burst, as a share of the number
 * that the execution slots can answer per second when none is idle.
 */
final class RetryBurst implements Scenario {
  private static final double GOODPUT_BOUND = 0.9;
  private static final double RECOVERY_BOUND_SECONDS = 10;
  private static final double NORMAL_UTILIZATION = 0.6;
  private static final double BURST_UTILIZATION = 10 * NORMAL_UTILIZATION;

  /**
   * Service has recovered when the ratio of answers to requests in a second reaches this value.
   * Requests in flight at the ends of the second vary the ratio by about 0.5 %.
   */
  private static final double NORMAL_ANSWER_RATIO = 0.95;

  private static final int BURST_SECONDS = 5;
  private static final int RECOVERY_WINDOW_SECONDS = 12;
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final Duration SECOND = Duration.ofSeconds(1);

  private record Result(double worstGoodputShare, double recoverySeconds, boolean invariantsHold) {}

  @Override
  public String name() {
    return "retry-burst";
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    Result result = measure(site, seed, simulation -> RouterPath.of(simulation, seed));
    Result baseline =
        measure(
            site,
            seed,
            simulation ->
                new BaselinePath(simulation, new BaselinePolicy.OwnerWithRetries(), seed));
    return ImmutableList.of(
        MeasurementBuilder.of("goodput", this, site, seed)
            .value(result.worstGoodputShare(), "share")
            .atLeast(GOODPUT_BOUND)
            .baseline("no_retry_budget", baseline.worstGoodputShare())
            .invariantsHold(result.invariantsHold())
            .build(),
        MeasurementBuilder.of("goodput_recovery", this, site, seed)
            .value(result.recoverySeconds(), "s")
            .atMost(RECOVERY_BOUND_SECONDS)
            .baseline("no_retry_budget", baseline.recoverySeconds())
            .invariantsHold(result.invariantsHold())
            .build());
  }

  private static Result measure(
      Site site, long seed, Function<TrafficSimulation, ? extends RequestPath> pathFactory) {
    TrafficRun<?> run = TrafficRun.orders(TrafficSimulation.keyed(site), pathFactory, seed);
    run.start(NORMAL_UTILIZATION);
    run.advance(WARM_UP);
    run.changeLoad(BURST_UTILIZATION);
    double fewestAnswered = Double.MAX_VALUE;
    for (int i = 0; i < BURST_SECONDS; i++) {
      fewestAnswered = Math.min(fewestAnswered, answeredInNextSecond(run));
    }
    run.changeLoad(NORMAL_UTILIZATION);
    double recovery = recoverySeconds(run);
    run.finish();
    return new Result(fewestAnswered / run.capacityPerSecond(), recovery, run.invariantsHold());
  }

  private static double recoverySeconds(TrafficRun<?> run) {
    int lastDegradedSecond = 0;
    for (int second = 1; second <= RECOVERY_WINDOW_SECONDS; second++) {
      long sentBefore = run.callers().sent();
      double answered = answeredInNextSecond(run);
      if (answered < NORMAL_ANSWER_RATIO * (run.callers().sent() - sentBefore)) {
        lastDegradedSecond = second;
      }
    }
    return lastDegradedSecond;
  }

  private static double answeredInNextSecond(TrafficRun<?> run) {
    long before = run.callers().answered();
    run.advance(SECOND);
    return run.callers().answered() - before;
  }
}
