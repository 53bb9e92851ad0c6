package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/** One upstream of a shared service is slowed ten times; measures all callers. */
final class SharedTailLatency implements Scenario {
  private static final double BOUND = 1.5;
  private static final double EXTRA_REQUESTS_BOUND = 0.05;
  private static final int SLOW_FACTOR = 10;
  private static final int SLOWED = 0;
  private static final double UTILIZATION = 0.5;
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final Duration DURATION = Duration.ofSeconds(30);

  private final String name;
  private final String baselineName;
  private final PlainRule baseline;

  private SharedTailLatency(String name, String baselineName, PlainRule baseline) {
    this.name = name;
    this.baselineName = baselineName;
    this.baseline = baseline;
  }

  static SharedTailLatency againstRoundRobin() {
    return new SharedTailLatency("shared-one-slowed", "round_robin", new PlainRule.RoundRobin());
  }

  /** The slowed upstream reports no load, as other work on its host is invisible to it. */
  static SharedTailLatency againstMisleadingReports() {
    return new SharedTailLatency(
        "shared-misleading-reports", "least_reported_load", new PlainRule.LeastReported(SLOWED));
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    TrafficRun<?> slowed = run(site, seed, world -> RouterPath.of(world, seed), SLOW_FACTOR);
    TrafficRun<?> normal = run(site, seed, world -> RouterPath.of(world, seed), 1);
    TrafficRun<?> plain =
        run(site, seed, world -> new PlainPath(world, baseline, seed), SLOW_FACTOR);
    TrafficRun<?> plainNormal = run(site, seed, world -> new PlainPath(world, baseline, seed), 1);
    boolean kept = slowed.keepsInvariants() && normal.keepsInvariants();
    return ImmutableList.of(
        MeasurementBuilder.of("tail_latency", this, site, seed)
            .value(slowed.p99Millis() / normal.p99Millis(), "ratio")
            .atMost(BOUND)
            .baseline(baselineName, plain.p99Millis() / plainNormal.p99Millis())
            .invariantsKept(kept)
            .build(),
        MeasurementBuilder.of("extra_requests", this, site, seed)
            .value(extraRequests(slowed), "share")
            .atMost(EXTRA_REQUESTS_BOUND)
            .baseline(baselineName, extraRequests(plain))
            .invariantsKept(kept)
            .build());
  }

  private static TrafficRun<?> run(
      Site site, long seed, Function<TrafficWorld, ? extends RequestPath> paths, int factor) {
    TrafficRun<?> run = TrafficRun.lookups(TrafficWorld.shared(site), paths, seed);
    run.start(UTILIZATION);
    run.advance(WARM_UP);
    run.callers().measure(request -> true);
    run.world().upstream(SLOWED).slowDown(factor);
    run.advance(DURATION);
    run.finish();
    return run;
  }

  /** Runs above one per request; hedges that were cancelled before they ran cost nothing. */
  private static double extraRequests(TrafficRun<?> run) {
    double requests = run.callers().sent();
    return Math.max(0, run.records().totalRuns() - requests) / requests;
  }
}
