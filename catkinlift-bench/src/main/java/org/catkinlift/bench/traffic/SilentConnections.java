package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/**
 * One connection to each upstream stops answering without being closed. Measures the latency of the
 * slowest lookup.
 */
final class SilentConnections implements Scenario {
  /** Half of the callers' deadline; a silent connection must be retired by then. */
  private static final double BOUND_MILLIS = 1_000;

  private static final double UTILIZATION = 0.3;
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final Duration DURATION = Duration.ofSeconds(10);

  @Override
  public String name() {
    return "silent-connections";
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    TrafficRun<RouterPath> run =
        TrafficRun.lookups(
            TrafficSimulation.keyed(site), simulation -> RouterPath.of(simulation, seed), seed);
    TrafficRun<BaselinePath> baseline =
        TrafficRun.lookups(
            TrafficSimulation.keyed(site),
            simulation -> new BaselinePath(simulation, new BaselinePolicy.Owner(), seed),
            seed);
    execute(run, () -> run.path().links().forEach(UpstreamLink::silenceOneConnection));
    execute(baseline, () -> baseline.path().silenceOneConnectionPerUpstream());
    return ImmutableList.of(
        MeasurementBuilder.of("tail_latency", this, site, seed)
            .value(run.maxMillis(), "ms")
            .atMost(BOUND_MILLIS)
            .baseline("no_silence_check", baseline.maxMillis())
            .invariantsHold(run.invariantsHold())
            .build());
  }

  private static void execute(TrafficRun<?> run, Runnable fault) {
    run.start(UTILIZATION);
    run.advance(WARM_UP);
    run.callers().measure(request -> true);
    fault.run();
    run.advance(DURATION);
    run.finish();
  }
}
