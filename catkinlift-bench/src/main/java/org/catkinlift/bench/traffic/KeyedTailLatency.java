package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;
import org.catkinlift.model.UpstreamId;

/**
 * Three of 30 keyed upstreams take ten times as long. Measures by which factor the tail latency of
 * requests to the other upstreams grows.
 */
final class KeyedTailLatency implements Scenario {
  private static final double BOUND = 1.1;
  private static final int SLOWED_COUNT = 3;
  private static final int SLOW_FACTOR = 10;
  private static final double UTILIZATION = 0.6;
  private static final Duration DURATION = Duration.ofSeconds(20);

  /** Pool size as a multiple of the execution slots of the site, a typical setting for a proxy. */
  private static final int POOL_FACTOR = 2;

  @Override
  public String name() {
    return "keyed-three-slowed";
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    int slots = site.keyedUpstreams() * site.concurrencyLimit();
    var pool = new BaselinePolicy.SharedPool(slots * POOL_FACTOR);
    TrafficRun<?> slowed =
        run(site, seed, simulation -> RouterPath.of(simulation, seed), SLOW_FACTOR);
    TrafficRun<?> normal = run(site, seed, simulation -> RouterPath.of(simulation, seed), 1);
    TrafficRun<?> baselineSlowed =
        run(site, seed, simulation -> new BaselinePath(simulation, pool, seed), SLOW_FACTOR);
    TrafficRun<?> baselineNormal =
        run(site, seed, simulation -> new BaselinePath(simulation, pool, seed), 1);
    return ImmutableList.of(
        MeasurementBuilder.of("tail_latency", this, site, seed)
            .value(slowed.p99Millis() / normal.p99Millis(), "ratio")
            .atMost(BOUND)
            .baseline("shared_pool", baselineSlowed.p99Millis() / baselineNormal.p99Millis())
            .invariantsHold(slowed.invariantsHold() && normal.invariantsHold())
            .build());
  }

  private static TrafficRun<?> run(
      Site site,
      long seed,
      Function<TrafficSimulation, ? extends RequestPath> pathFactory,
      int factor) {
    TrafficRun<?> run = TrafficRun.orders(TrafficSimulation.keyed(site), pathFactory, seed);
    ImmutableSet<UpstreamId> slowed =
        run.simulation().definitions().stream()
            .limit(SLOWED_COUNT)
            .map(d -> d.id())
            .collect(ImmutableSet.toImmutableSet());
    run.callers().measure(request -> !slowed.contains(run.simulation().ownerOf(request)));
    slowed.forEach(id -> run.simulation().upstream(id).slowDown(factor));
    run.start(UTILIZATION);
    run.advance(DURATION);
    run.finish();
    return run;
  }
}
