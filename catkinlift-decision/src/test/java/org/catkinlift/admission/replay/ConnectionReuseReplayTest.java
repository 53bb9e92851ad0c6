package org.catkinlift.admission.replay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.catkinlift.admission.Urgency;
import org.catkinlift.admission.ZonePreference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays a deployment with many daemons, each of which has few requests for many upstreams of
 * different speed. Guards against daemons that open a connection for most requests.
 */
final class ConnectionReuseReplayTest {
  private static final Duration DURATION = Duration.ofSeconds(30);
  private static final Duration TARGET = Duration.ofMillis(400);
  private static final int DAEMONS = 80;
  private static final int ZONES = 4;
  private static final double REQUESTS_PER_SECOND = 500;
  private static final double NON_IDEMPOTENT_SHARE = 0.4;

  private static final double MAX_LATE_SHARE = 0.01;
  private static final double WORK_MILLIS = 60;
  private static final double RESPONSE_BYTES = 400;
  private static final int SLOTS = 4;
  private static final int QUEUE_CAPACITY = 24;
  private static final long MAX_IDLE_NANOS = Duration.ofMillis(4_800).toNanos();
  private static final long MAX_IDLE_NON_IDEMPOTENT_NANOS = Duration.ofMillis(1_500).toNanos();
  private static final double[] SPEEDS = {0.7, 1, 1.3};

  private record Result(double connectionsPerRequest, double lateShare) {}

  private static Result replay(int upstreamCount, boolean regardsKind) {
    var random = new SplittableRandom(1);
    var time = new VirtualTime();
    List<SimulatedUpstream> upstreams = new ArrayList<>();
    List<Integer> zones = new ArrayList<>();
    for (int i = 0; i < upstreamCount; i++) {
      var noise = new SimulatedNoise(0.2, 3, Duration.ofMillis(400), random.nextInt(1 << 20));
      double slowdown = 1 / SPEEDS[i % SPEEDS.length];
      upstreams.add(new SimulatedUpstream(time, SLOTS, QUEUE_CAPACITY, slowdown, noise));
      zones.add(i % ZONES);
    }
    long zoneMarginNanos = ZonePreference.marginNanos(TARGET, RESPONSE_BYTES);
    List<SimulatedBalancer> daemons = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(
          new SimulatedBalancer(
              time, upstreams, zones, i % ZONES, zoneMarginNanos, true, random.split()));
    }
    int requests = (int) (DURATION.toSeconds() * REQUESTS_PER_SECOND);
    for (int i = 0; i < requests; i++) {
      long nanos = random.nextLong(DURATION.toNanos());
      var urgency = new Urgency(1, nanos + TARGET.toNanos(), nanos + 3 * TARGET.toNanos());
      long workNanos = (long) (WORK_MILLIS * 1e6 * (0.5 + random.nextDouble()));
      SimulatedBalancer daemon = daemons.get(random.nextInt(DAEMONS));
      long maxIdleNanos =
          random.nextDouble() < NON_IDEMPOTENT_SHARE
              ? MAX_IDLE_NON_IDEMPOTENT_NANOS
              : MAX_IDLE_NANOS;
      long assumedMaxIdleNanos = regardsKind ? maxIdleNanos : MAX_IDLE_NANOS;
      var request = new SimulatedRequest(urgency, workNanos, 1);
      time.at(nanos, () -> daemon.receive(request, maxIdleNanos, assumedMaxIdleNanos));
    }
    time.run();
    int connections = daemons.stream().mapToInt(SimulatedBalancer::connections).sum();
    int inTime = daemons.stream().mapToInt(SimulatedBalancer::answeredInTime).sum();
    return new Result(connections / (double) requests, 1 - inTime / (double) requests);
  }

  /**
   * A connection that is too old for a non-idempotent request is no reason to select its upstream.
   */
  @ParameterizedTest
  @ValueSource(ints = {50, 150, 280})
  void fewerConnectionsAreOpenedIfTheKindOfTheRequestCounts(int upstreams) {
    Result result = replay(upstreams, true);
    Result withoutKind = replay(upstreams, false);

    assertThat(result.connectionsPerRequest()).isLessThan(withoutKind.connectionsPerRequest());
    assertThat(result.lateShare()).isAtMost(MAX_LATE_SHARE);
  }
}
