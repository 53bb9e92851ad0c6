package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/**
 * Measures the imbalance of a shared service: the busy time of the busiest upstream divided by the
 * mean, averaged over intervals of 30 s.
 */
final class SharedImbalance implements Scenario {
  private static final double BOUND = 1.15;
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final double UTILIZATION = 0.6;
  private static final int SLOWED_INDEX = 0;

  /** The half-life of the load average that routing uses. */
  private static final Duration INTERVAL = Duration.ofSeconds(30);

  private static final int INTERVALS = 2;

  private final String name;
  private final int slowFactor;

  private SharedImbalance(String name, int slowFactor) {
    this.name = name;
    this.slowFactor = slowFactor;
  }

  static SharedImbalance equalUpstreams() {
    return new SharedImbalance("shared-equal", 1);
  }

  /** One upstream takes twice as long and so can execute half as many requests per second. */
  static SharedImbalance oneSlower() {
    return new SharedImbalance("shared-one-slower", 2);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    TrafficRun<?> run = start(site, seed, simulation -> RouterPath.of(simulation, seed));
    double value = meanOverIntervals(run);
    run.finish();
    TrafficRun<?> baseline =
        start(
            site,
            seed,
            simulation -> new BaselinePath(simulation, new BaselinePolicy.RandomChoice(), seed));
    return ImmutableList.of(
        MeasurementBuilder.of("imbalance", this, site, seed)
            .value(value, "ratio")
            .atMost(BOUND)
            .baseline("random_choice", meanOverIntervals(baseline))
            .invariantsHold(run.invariantsHold())
            .build());
  }

  private TrafficRun<?> start(
      Site site, long seed, Function<TrafficSimulation, ? extends RequestPath> pathFactory) {
    TrafficRun<?> run = TrafficRun.lookups(TrafficSimulation.shared(site), pathFactory, seed);
    run.simulation().upstream(SLOWED_INDEX).slowDown(slowFactor);
    run.start(UTILIZATION);
    run.advance(WARM_UP);
    return run;
  }

  private static double meanOverIntervals(TrafficRun<?> run) {
    double sum = 0;
    for (int i = 0; i < INTERVALS; i++) {
      ImmutableList<Long> before = busyNanos(run);
      run.advance(INTERVAL);
      sum += maxOverMean(before, busyNanos(run));
    }
    return sum / INTERVALS;
  }

  private static double maxOverMean(ImmutableList<Long> before, ImmutableList<Long> after) {
    double max = 0;
    double total = 0;
    for (int i = 0; i < before.size(); i++) {
      double work = after.get(i) - before.get(i);
      max = Math.max(max, work);
      total += work;
    }
    return max * before.size() / total;
  }

  private static ImmutableList<Long> busyNanos(TrafficRun<?> run) {
    return run.simulation().definitions().stream()
        .map(d -> run.simulation().upstream(d.id()).busyNanos())
        .collect(ImmutableList.toImmutableList());
  }
}
