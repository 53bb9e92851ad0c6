package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Sends requests to whichever upstreams hold their keys. Some executions outlast a release or the
 * lease. Some responses are lost, after which the same upstream gets the request again.
 */
final class SimulatedRequests {
  private static final int MIN_INTERVAL_MILLIS = 5;
  private static final int MAX_INTERVAL_MILLIS = 60;

  private static final Duration MAX_EXECUTION_TIME = Duration.ofMillis(150);

  /** May outlast a release that is given up. */
  private static final Duration MAX_LONG_EXECUTION_TIME = Duration.ofSeconds(4);

  /** May outlast a lease. */
  private static final Duration MAX_LONGEST_EXECUTION_TIME = Duration.ofSeconds(14);

  private static final int REQUESTS_PER_LONG_EXECUTION = 15;
  private static final int REQUESTS_PER_LONGEST_EXECUTION = 120;
  private static final int REQUESTS_PER_LOST_RESPONSE = 6;
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

  private static final int SUCCESS_STATUS = 200;
  private static final int LEASE_EXPIRED_STATUS = 500;

  private final SimulationEnvironment environment;
  private final ImmutableList<SimulatedUpstream> upstreams;

  /** Separate from that of the environment, so that requests change no fault of a seed. */
  private final SplittableRandom random;

  private long lastRequest;

  private SimulatedRequests(
      SimulationEnvironment environment, ImmutableList<SimulatedUpstream> upstreams, long seed) {
    this.environment = environment;
    this.upstreams = upstreams;
    this.random = new SplittableRandom(~seed);
  }

  /** Sends requests from now on, at a rate that depends on the seed. */
  static void start(
      SimulationEnvironment environment, ImmutableList<SimulatedUpstream> upstreams, long seed) {
    var requests = new SimulatedRequests(environment, upstreams, seed);
    int intervalMillis = requests.random.nextInt(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
    environment.every(Duration.ofMillis(intervalMillis), requests::send);
  }

  private void send() {
    int key = random.nextBoolean() ? anyKey() : hotKey();
    lastRequest++;
    upstreams.forEach(u -> execute(u, key, lastRequest));
  }

  private int anyKey() {
    return KeySample.KEYS.get(random.nextInt(KeySample.KEYS.size()));
  }

  private int hotKey() {
    return KeySample.HOT_KEYS.first() + random.nextInt(KeySample.HOT_KEYS.size());
  }

  private void execute(SimulatedUpstream upstream, int key, long request) {
    upstream.process().ifPresent(p -> execute(upstream, p, key, request));
  }

  private void execute(SimulatedUpstream upstream, UpstreamProcess process, int key, long request) {
    process
        .startWork(key, environment.nowNanos())
        .ifPresent(
            execution -> {
              environment.record(new SimulationEvent.WorkStarted(process, key, request));
              environment.after(
                  executionTime(), () -> ended(upstream, process, execution, key, request));
            });
  }

  private Duration executionTime() {
    if (random.nextInt(REQUESTS_PER_LONGEST_EXECUTION) == 0) {
      return upTo(MAX_LONGEST_EXECUTION_TIME);
    }
    boolean isLong = random.nextInt(REQUESTS_PER_LONG_EXECUTION) == 0;
    return upTo(isLong ? MAX_LONG_EXECUTION_TIME : MAX_EXECUTION_TIME);
  }

  private Duration upTo(Duration max) {
    return Duration.ofNanos(random.nextLong(max.toNanos()));
  }

  private void ended(
      SimulatedUpstream upstream, UpstreamProcess process, long execution, int key, long request) {
    if (!upstream.isRunning(process)) {
      return;
    }
    boolean success = process.endWork(execution, environment.nowNanos());
    int status = success ? SUCCESS_STATUS : LEASE_EXPIRED_STATUS;
    environment.record(new SimulationEvent.WorkEnded(process, key, request, status));
    if (random.nextInt(REQUESTS_PER_LOST_RESPONSE) == 0) {
      environment.after(upTo(MAX_RETRY_DELAY), () -> execute(upstream, key, request));
    }
  }
}
