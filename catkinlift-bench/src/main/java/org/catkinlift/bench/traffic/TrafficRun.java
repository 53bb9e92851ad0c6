package org.catkinlift.bench.traffic;

import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.model.ServiceName;

/**
 * One run of one path in a world of its own.
 *
 * @param <P> the type of the path
 */
final class TrafficRun<P extends RequestPath> {
  /** Until then dispatchers wait for the work of earlier ones. */
  private static final Duration DISPATCHERS_READY = Duration.ofSeconds(1);

  private static final Duration MEAN_WORK = Duration.ofMillis(20);
  private static final Duration DEADLINE = Duration.ofSeconds(2);
  private static final ServiceName SERVICE = TrafficWorld.SERVICE;
  private static final double P99 = 99;
  private static final double NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

  private final TrafficWorld world;
  private final P path;
  private final FakeCallers callers;

  private TrafficRun(TrafficWorld world, P path, FakeCallers callers) {
    this.world = world;
    this.path = path;
    this.callers = callers;
  }

  /** Prepares a run whose requests are all repeatable lookups. */
  static <P extends RequestPath> TrafficRun<P> lookups(
      TrafficWorld world, Function<TrafficWorld, P> paths, long seed) {
    return of(world, paths, new Workload(SERVICE, MEAN_WORK, DEADLINE, 0, seed));
  }

  /** Prepares a run with a mix of lookups and orders that must run at most once. */
  static <P extends RequestPath> TrafficRun<P> orders(
      TrafficWorld world, Function<TrafficWorld, P> paths, long seed) {
    return of(world, paths, new Workload(SERVICE, MEAN_WORK, DEADLINE, 0.5, seed));
  }

  private static <P extends RequestPath> TrafficRun<P> of(
      TrafficWorld world, Function<TrafficWorld, P> paths, Workload workload) {
    P path = paths.apply(world);
    return new TrafficRun<>(
        world, path, new FakeCallers(world.timers(), world.records(), path, workload));
  }

  /** Waits for the dispatchers, then sends a share of what the upstreams can execute. */
  void start(double utilization) {
    advance(DISPATCHERS_READY);
    callers.start(rate(utilization));
  }

  void changeLoad(double utilization) {
    callers.changeRate(rate(utilization));
  }

  void advance(Duration duration) {
    world.timers().advance(duration);
  }

  TrafficWorld world() {
    return world;
  }

  P path() {
    return path;
  }

  FakeCallers callers() {
    return callers;
  }

  WorkRecords records() {
    return world.records();
  }

  double p99Millis() {
    return callers.latencies().getValueAtPercentile(P99) / NANOS_PER_MILLI;
  }

  double maxMillis() {
    return callers.latencies().getMaxValue() / NANOS_PER_MILLI;
  }

  /** Stops the callers and waits until each has been told how its requests ended. */
  void finish() {
    callers.stop();
    advance(DEADLINE.multipliedBy(2));
  }

  /** Tells whether no record violates an invariant and no caller was left without a reply. */
  boolean keepsInvariants() {
    return records().violationCount() == 0 && callers.waiting() == 0;
  }

  double capacityPerSecond() {
    return world.capacityPerSecond(MEAN_WORK);
  }

  private double rate(double utilization) {
    return utilization * capacityPerSecond();
  }
}
