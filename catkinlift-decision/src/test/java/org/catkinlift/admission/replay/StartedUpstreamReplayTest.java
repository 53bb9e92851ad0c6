package org.catkinlift.admission.replay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.catkinlift.admission.UpstreamQueue;
import org.catkinlift.admission.Urgency;
import org.junit.jupiter.api.Test;

/**
 * Replays a service whose upstreams are busy when one of them starts and is slow for its first
 * seconds, at many daemons that learn of it within a quarter of a second. Guards against an
 * upstream that is flooded because it appears idle to all daemons, and against one that is left
 * idle.
 */
final class StartedUpstreamReplayTest {
  private static final int DAEMONS = 88;
  private static final int UPSTREAMS = 89;
  private static final int SLOTS = 2;
  private static final int QUEUE_CAPACITY = 8;
  private static final double[] SPEEDS = {0.5, 1, 1, 1.5};
  private static final double WORK_MILLIS = 60;
  private static final long TYPICAL_SERVICE_NANOS = Duration.ofMillis(90).toNanos();
  private static final double REQUESTS_PER_SECOND = 2_400;
  private static final Duration TARGET = Duration.ofMillis(500);
  private static final Duration CALLER_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration START = Duration.ofSeconds(2);
  private static final Duration COLD_TIME = Duration.ofSeconds(3);
  private static final Duration LEARNING_TIME = Duration.ofMillis(250);
  private static final int SEEDS = 4;

  /** The requests that a cold upstream can execute in a second. */
  private static final double COLD_PER_SECOND =
      SLOTS * 1_000 / (WORK_MILLIS * SimulatedUpstream.COLD_SLOWDOWN);

  /**
   * What happened at the started upstream until it is warm, as a mean over all seeds.
   *
   * @param inFirstSecond the requests that it received within a second of its start
   * @param answered the requests that it answered in time
   */
  private record Result(double inFirstSecond, double answered) {}

  /** What a daemon does when it learns of the upstream. */
  private interface Policy {
    void started(UpstreamQueue<?> queue, double random, long nowNanos);
  }

  private static final Policy RAMP_UP =
      (queue, random, now) -> queue.startRampUp(TYPICAL_SERVICE_NANOS, DAEMONS, random, now);
  private static final Policy NO_LIMIT = (queue, random, now) -> {};
  private static final Policy SEPARATE_RAMPS =
      (queue, random, now) -> queue.startRampUp(TYPICAL_SERVICE_NANOS, 1, random, now);

  private static Result replayAll(Policy policy) {
    double inFirstSecond = 0;
    double answered = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedUpstream started = replay(policy, seed);
      inFirstSecond += started.arrivedBefore(START.plusSeconds(1).toNanos());
      answered += started.answered();
    }
    return new Result(inFirstSecond / SEEDS, answered / SEEDS);
  }

  private static SimulatedUpstream replay(Policy policy, long seed) {
    var random = new SplittableRandom(seed);
    var time = new VirtualTime();
    List<SimulatedUpstream> upstreams = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      var noise = new SimulatedNoise(0.2, 3, Duration.ofMillis(400), random.nextInt(1 << 20));
      double slowdown = 1 / SPEEDS[i % SPEEDS.length];
      upstreams.add(new SimulatedUpstream(time, SLOTS, QUEUE_CAPACITY, slowdown, noise));
    }
    var started = new SimulatedUpstream(time, SLOTS, QUEUE_CAPACITY, 1);
    long warmNanos = START.plus(COLD_TIME).toNanos();
    started.markCold(warmNanos);
    List<SimulatedBalancer> daemons = new ArrayList<>();
    List<Integer> zones = Collections.nCopies(UPSTREAMS, 0);
    for (int i = 0; i < DAEMONS; i++) {
      var daemon = new SimulatedBalancer(time, upstreams, zones, 0, 0, true, random.split());
      daemons.add(daemon);
      double phase = random.nextDouble();
      long learnedNanos = START.toNanos() + random.nextLong(LEARNING_TIME.toNanos());
      time.at(learnedNanos, () -> policy.started(daemon.addStarted(started), phase, learnedNanos));
    }
    for (double arrivalSeconds = 0;
        arrivalSeconds < warmNanos / 1e9;
        arrivalSeconds += -Math.log(random.nextDouble()) / REQUESTS_PER_SECOND) {
      long nanos = (long) (arrivalSeconds * 1e9);
      long workNanos = (long) (WORK_MILLIS * 1e6 * (0.5 + random.nextDouble()));
      var urgency = new Urgency(1, nanos + TARGET.toNanos(), nanos + CALLER_TIMEOUT.toNanos());
      SimulatedBalancer daemon = daemons.get(random.nextInt(DAEMONS));
      time.at(nanos, () -> daemon.receive(new SimulatedRequest(urgency, workNanos, 1)));
    }
    time.run();
    return started;
  }

  @Test
  void startedUpstreamIsNotFlooded() {
    assertThat(replayAll(RAMP_UP).inFirstSecond()).isAtMost(COLD_PER_SECOND);
  }

  /** Without these the replay would not show that the limit has an effect. */
  @Test
  void upstreamIsFloodedWithoutLimitOrIfDaemonsDoNotShareIt() {
    assertThat(replayAll(NO_LIMIT).inFirstSecond()).isGreaterThan(COLD_PER_SECOND);
    assertThat(replayAll(SEPARATE_RAMPS).inFirstSecond()).isGreaterThan(COLD_PER_SECOND);
  }

  @Test
  void startedUpstreamIsNotLeftIdle() {
    double possible = COLD_PER_SECOND * COLD_TIME.toSeconds();
    assertThat(replayAll(RAMP_UP).answered()).isAtLeast(possible / 2);
  }
}
