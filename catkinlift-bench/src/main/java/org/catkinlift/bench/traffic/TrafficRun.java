package org.catkinlift.bench.traffic;

import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.model.ServiceName;

/**
 * A run of one request path in its own simulation.
 *
 * @param <P> the type of the path
 */
final class TrafficRun<P extends RequestPath> {
  /** Until then dispatchers wait for the requests of earlier dispatchers to end. */
  private static final Duration DISPATCHER_START_DELAY = Duration.ofSeconds(1);

  private static final Duration MEAN_EXECUTION_TIME = Duration.ofMillis(20);
  private static final Duration DEADLINE = Duration.ofSeconds(2);
  private static final ServiceName SERVICE = TrafficSimulation.SERVICE;
  private static final double P99 = 99;
  private static final double NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

  private final TrafficSimulation simulation;
  private final P path;
  private final FakeCallers callers;

  private TrafficRun(TrafficSimulation simulation, P path, FakeCallers callers) {
    this.simulation = simulation;
    this.path = path;
    this.callers = callers;
  }

  /** Creates a run in which all requests are repeatable lookups. */
  static <P extends RequestPath> TrafficRun<P> lookups(
      TrafficSimulation simulation, Function<TrafficSimulation, P> pathFactory, long seed) {
    return of(
        simulation, pathFactory, new Workload(SERVICE, MEAN_EXECUTION_TIME, DEADLINE, 0, seed));
  }

  /** Creates a run in which half of the requests are lookups and half are at-most-once orders. */
  static <P extends RequestPath> TrafficRun<P> orders(
      TrafficSimulation simulation, Function<TrafficSimulation, P> pathFactory, long seed) {
    return of(
        simulation, pathFactory, new Workload(SERVICE, MEAN_EXECUTION_TIME, DEADLINE, 0.5, seed));
  }

  private static <P extends RequestPath> TrafficRun<P> of(
      TrafficSimulation simulation, Function<TrafficSimulation, P> pathFactory, Workload workload) {
    P path = pathFactory.apply(simulation);
    return new TrafficRun<>(
        simulation,
        path,
        new FakeCallers(simulation.timers(), simulation.invariantChecker(), path, workload));
  }

  /** Waits until the dispatchers are ready, then starts the callers at the given utilization. */
  void start(double utilization) {
    advance(DISPATCHER_START_DELAY);
    callers.start(requestsPerSecond(utilization));
  }

  void changeLoad(double utilization) {
    callers.changeRate(requestsPerSecond(utilization));
  }

  void advance(Duration duration) {
    simulation.timers().advance(duration);
  }

  TrafficSimulation simulation() {
    return simulation;
  }

  P path() {
    return path;
  }

  FakeCallers callers() {
    return callers;
  }

  InvariantChecker invariantChecker() {
    return simulation.invariantChecker();
  }

  double p99Millis() {
    return callers.latencies().getValueAtPercentile(P99) / NANOS_PER_MILLI;
  }

  double maxMillis() {
    return callers.latencies().getMaxValue() / NANOS_PER_MILLI;
  }

  /** Stops the callers and waits long enough for all outstanding replies. */
  void finish() {
    callers.stop();
    advance(DEADLINE.multipliedBy(2));
  }

  /** Returns whether no invariant was violated and every caller received a reply. */
  boolean invariantsHold() {
    return invariantChecker().violationCount() == 0 && callers.outstanding() == 0;
  }

  double capacityPerSecond() {
    return simulation.capacityPerSecond(MEAN_EXECUTION_TIME);
  }

  private double requestsPerSecond(double utilization) {
    return utilization * capacityPerSecond();
  }
}
