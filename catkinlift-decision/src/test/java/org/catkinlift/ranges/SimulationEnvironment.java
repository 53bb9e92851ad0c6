package org.catkinlift.ranges;

import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.timer.VirtualTimerService;

/** The virtual time and the random numbers that all parts of a simulation share. */
final class SimulationEnvironment {
  /** Far enough from zero that a clock may be stepped back. */
  private static final long START_OF_WALL_CLOCK_MILLIS = 1_000_000;

  private static final Duration MIN_DELAY = Duration.ofMillis(1);
  private static final Duration MAX_DELAY = Duration.ofMillis(9);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final SimulationTrace trace = new SimulationTrace();
  private final SplittableRandom random;
  private final double faultProbability;
  private final UpstreamBehavior behavior;

  SimulationEnvironment(long seed, double faultProbability, UpstreamBehavior behavior) {
    this.behavior = behavior;
    this.random = new SplittableRandom(seed);
    this.faultProbability = faultProbability;
  }

  VirtualTimerService timers() {
    return timers;
  }

  UpstreamBehavior behavior() {
    return behavior;
  }

  SplittableRandom random() {
    return random;
  }

  SimulationTrace trace() {
    return trace;
  }

  void record(SimulationEvent event) {
    trace.add(nowNanos(), event);
  }

  long nowNanos() {
    return timers.nowNanos();
  }

  long wallMillis() {
    return START_OF_WALL_CLOCK_MILLIS + Duration.ofNanos(nowNanos()).toMillis();
  }

  void after(Duration delay, Runnable task) {
    var unused = timers.after(delay, task);
  }

  void every(Duration interval, Runnable task) {
    var unused = timers.every(interval, task);
  }

  /** Returns whether the next operation meets a fault. */
  boolean nextIsFaulty() {
    return random.nextDouble() < faultProbability;
  }

  /** Returns the delay of an operation without a fault. */
  Duration usualDelay() {
    return delayBetween(MIN_DELAY, MAX_DELAY);
  }

  Duration delayBetween(Duration min, Duration max) {
    return min.plusNanos(random.nextLong(max.minus(min).toNanos()));
  }
}
