package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/**
 * One upstream of a shared service takes ten times as long. Measures by which factor the tail
 * latency of all callers grows, and the share of extra requests.
 */
final class SharedTailLatency implements Scenario {
  private static final double BOUND = 1.5;
  private static final double EXTRA_REQUESTS_BOUND = 0.05;
  private static final int SLOW_FACTOR = 10;
  private static final int SLOWED_INDEX = 0;
  private static final double UTILIZATION = 0.5;
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final Duration DURATION = Duration.ofSeconds(30);

  private final String name;
  private final String baselineName;
  private final BaselinePolicy baselinePolicy;

  private SharedTailLatency(String name, String baselineName, BaselinePolicy baselinePolicy) {
    this.name = name;
    this.baselineName = baselineName;
    this.baselinePolicy = baselinePolicy;
  }

  static SharedTailLatency againstRoundRobin() {
    return new SharedTailLatency(
        "shared-one-slowed", "round_robin", new BaselinePolicy.RoundRobin());
  }

  /** The slowed upstream reports zero load, because it does not see other work on its host. */
  static SharedTailLatency againstMisleadingReports() {
    return new SharedTailLatency(
        "shared-misleading-reports",
        "least_reported_load",
        new BaselinePolicy.LeastReportedLoad(SLOWED_INDEX));
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    TrafficRun<?> slowed =
        run(site, seed, simulation -> RouterPath.of(simulation, seed), SLOW_FACTOR);
    TrafficRun<?> normal = run(site, seed, simulation -> RouterPath.of(simulation, seed), 1);
    TrafficRun<?> baselineSlowed =
        run(
            site,
            seed,
            simulation -> new BaselinePath(simulation, baselinePolicy, seed),
            SLOW_FACTOR);
    TrafficRun<?> baselineNormal =
        run(site, seed, simulation -> new BaselinePath(simulation, baselinePolicy, seed), 1);
    boolean invariantsHold = slowed.invariantsHold() && normal.invariantsHold();
    return ImmutableList.of(
        MeasurementBuilder.of("tail_latency", this, site, seed)
            .value(slowed.p99Millis() / normal.p99Millis(), "ratio")
            .atMost(BOUND)
            .baseline(baselineName, baselineSlowed.p99Millis() / baselineNormal.p99Millis())
            .invariantsHold(invariantsHold)
            .build(),
        MeasurementBuilder.of("extra_requests", this, site, seed)
            .value(extraRequests(slowed), "share")
            .atMost(EXTRA_REQUESTS_BOUND)
            .baseline(baselineName, extraRequests(baselineSlowed))
            .invariantsHold(invariantsHold)
            .build());
  }

  private static TrafficRun<?> run(
      Site site,
      long seed,
      Function<TrafficSimulation, ? extends RequestPath> pathFactory,
      int factor) {
    TrafficRun<?> run = TrafficRun.lookups(TrafficSimulation.shared(site), pathFactory, seed);
    run.start(UTILIZATION);
    run.advance(WARM_UP);
    run.callers().measure(request -> true);
    run.simulation().upstream(SLOWED_INDEX).slowDown(factor);
    run.advance(DURATION);
    run.finish();
    return run;
  }

  /**
   * Returns the executions in excess of one per request, as a share of the requests. Hedged
   * attempts that were cancelled before execution do not count.
   */
  private static double extraRequests(TrafficRun<?> run) {
    double requests = run.callers().sent();
    return Math.max(0, run.invariantChecker().totalRuns() - requests) / requests;
  }
}
