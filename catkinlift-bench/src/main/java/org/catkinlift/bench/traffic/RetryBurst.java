package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/**
 * Callers repeat their requests at ten times the normal load for some seconds.
 *
 * <p>Goodput is the worst second of the burst as a share of the peak, which is what the execution
 * slots can answer when none is ever idle.
 */
final class RetryBurst implements Scenario {
  private static final double GOODPUT_BOUND = 0.9;
  private static final double RECOVERY_BOUND_SECONDS = 10;
  private static final double NORMAL = 0.6;
  private static final double BURST = 10 * NORMAL;

  /**
   * The least ratio of answers to requests of a second when service is normal. Requests that cross
   * the end of the second vary it by about 0.5 %.
   */
  private static final double NORMAL_SHARE = 0.95;

  private static final int BURST_SECONDS = 5;
  private static final int WATCHED_SECONDS = 12;
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final Duration SECOND = Duration.ofSeconds(1);

  private record Result(double burstShare, double recoverySeconds, boolean kept) {}

  @Override
  public String name() {
    return "retry-burst";
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    Result result = result(site, seed, world -> RouterPath.of(world, seed));
    Result plain =
        result(site, seed, world -> new PlainPath(world, new PlainRule.OwnerWithRetries(), seed));
    return ImmutableList.of(
        MeasurementBuilder.of("goodput", this, site, seed)
            .value(result.burstShare(), "share")
            .atLeast(GOODPUT_BOUND)
            .baseline("no_retry_budget", plain.burstShare())
            .invariantsKept(result.kept())
            .build(),
        MeasurementBuilder.of("goodput_recovery", this, site, seed)
            .value(result.recoverySeconds(), "s")
            .atMost(RECOVERY_BOUND_SECONDS)
            .baseline("no_retry_budget", plain.recoverySeconds())
            .invariantsKept(result.kept())
            .build());
  }

  private static Result result(
      Site site, long seed, Function<TrafficWorld, ? extends RequestPath> paths) {
    TrafficRun<?> run = TrafficRun.orders(TrafficWorld.keyed(site), paths, seed);
    run.start(NORMAL);
    run.advance(WARM_UP);
    run.changeLoad(BURST);
    double worst = Double.MAX_VALUE;
    for (int i = 0; i < BURST_SECONDS; i++) {
      worst = Math.min(worst, answeredInNextSecond(run));
    }
    run.changeLoad(NORMAL);
    double recovery = recoverySeconds(run);
    run.finish();
    return new Result(worst / run.capacityPerSecond(), recovery, run.keepsInvariants());
  }

  private static double recoverySeconds(TrafficRun<?> run) {
    int lastBelow = 0;
    for (int second = 1; second <= WATCHED_SECONDS; second++) {
      long sentBefore = run.callers().sent();
      double answered = answeredInNextSecond(run);
      if (answered < NORMAL_SHARE * (run.callers().sent() - sentBefore)) {
        lastBelow = second;
      }
    }
    return lastBelow;
  }

  private static double answeredInNextSecond(TrafficRun<?> run) {
    long before = run.callers().answered();
    run.advance(SECOND);
    return run.callers().answered() - before;
  }
}
