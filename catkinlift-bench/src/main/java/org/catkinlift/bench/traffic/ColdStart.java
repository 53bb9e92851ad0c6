package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Consumer;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;
import org.catkinlift.model.UpstreamId;

/**
 * One keyed upstream becomes cold at 95 % utilization. Measures by how much the requests in flight
 * exceed its reduced capacity.
 */
final class ColdStart implements Scenario {
  private static final double UTILIZATION = 0.95;
  private static final int COLD_INDEX = 0;
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final Duration DURATION = Duration.ofSeconds(10);
  private static final Duration PROBE_DELAY = Duration.ofMillis(250);

  private final String name;
  private final Consumer<FakeUpstream> fault;

  private ColdStart(String name, Consumer<FakeUpstream> fault) {
    this.name = name;
    this.fault = fault;
  }

  /** The process restarts, and a probe detects the new instance. */
  static ColdStart announced() {
    return new ColdStart("cold-start-announced", FakeUpstream::restart);
  }

  /** The running process becomes cold and sheds requests above its capacity. */
  static ColdStart unannounced() {
    return new ColdStart("cold-start-unannounced", FakeUpstream::becomeColdAndShedExcess);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    TrafficRun<RouterPath> run =
        TrafficRun.orders(
            TrafficSimulation.keyed(site), simulation -> RouterPath.of(simulation, seed), seed);
    TrafficRun<BaselinePath> baseline =
        TrafficRun.orders(
            TrafficSimulation.keyed(site),
            simulation -> new BaselinePath(simulation, new BaselinePolicy.OwnerWithLimit(), seed),
            seed);
    UpstreamId cold = run.simulation().upstream(COLD_INDEX).id();
    execute(run, () -> run.path().link(cold).probe(PROBE_DELAY));
    execute(baseline, () -> {});
    return ImmutableList.of(
        MeasurementBuilder.of("excess_work", this, site, seed)
            .value(run.invariantChecker().largestExcess(), "requests")
            .atMost(0)
            .baseline("no_ramp", baseline.invariantChecker().largestExcess())
            .invariantsHold(run.invariantsHold())
            .build());
  }

  private void execute(TrafficRun<?> run, Runnable afterFault) {
    run.start(UTILIZATION);
    run.advance(WARM_UP);
    fault.accept(run.simulation().upstream(COLD_INDEX));
    afterFault.run();
    run.advance(DURATION);
    run.finish();
  }
}
