package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;
import org.catkinlift.model.UpstreamId;

/** Three of 30 keyed upstreams are slowed ten times; measures the callers of the others. */
final class KeyedTailLatency implements Scenario {
  private static final double BOUND = 1.1;
  private static final int SLOWED = 3;
  private static final int SLOW_FACTOR = 10;
  private static final double UTILIZATION = 0.6;
  private static final Duration DURATION = Duration.ofSeconds(20);

  /** Twice the execution slots of the site, as a plain proxy would be set up. */
  private static final int POOL_FACTOR = 2;

  @Override
  public String name() {
    return "keyed-three-slowed";
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    int slots = site.keyedUpstreams() * site.concurrencyLimit();
    var pool = new PlainRule.SharedPool(slots * POOL_FACTOR);
    TrafficRun<?> slowed = run(site, seed, world -> RouterPath.of(world, seed), SLOW_FACTOR);
    TrafficRun<?> normal = run(site, seed, world -> RouterPath.of(world, seed), 1);
    TrafficRun<?> plain = run(site, seed, world -> new PlainPath(world, pool, seed), SLOW_FACTOR);
    TrafficRun<?> plainNormal = run(site, seed, world -> new PlainPath(world, pool, seed), 1);
    return ImmutableList.of(
        MeasurementBuilder.of("tail_latency", this, site, seed)
            .value(slowed.p99Millis() / normal.p99Millis(), "ratio")
            .atMost(BOUND)
            .baseline("shared_pool", plain.p99Millis() / plainNormal.p99Millis())
            .invariantsKept(slowed.keepsInvariants() && normal.keepsInvariants())
            .build());
  }

  private static TrafficRun<?> run(
      Site site, long seed, Function<TrafficWorld, ? extends RequestPath> paths, int factor) {
    TrafficRun<?> run = TrafficRun.orders(TrafficWorld.keyed(site), paths, seed);
    ImmutableSet<UpstreamId> slowed =
        run.world().definitions().stream()
            .limit(SLOWED)
            .map(d -> d.id())
            .collect(ImmutableSet.toImmutableSet());
    run.callers().measure(request -> !slowed.contains(run.world().ownerOf(request)));
    slowed.forEach(id -> run.world().upstream(id).slowDown(factor));
    run.start(UTILIZATION);
    run.advance(DURATION);
    run.finish();
    return run;
  }
}
