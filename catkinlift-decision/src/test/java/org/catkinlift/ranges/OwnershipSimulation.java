package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Simulates hosts, a store and upstreams on virtual time, with the faults that can occur on the
 * platform. Checks ownership by what the upstreams hold and execute.
 */
final class OwnershipSimulation {
  private static final int HOSTS = 3;
  private static final int USUAL_UPSTREAMS = 10;

  /**
   * Two holds of a key overlap from the moment when a grant is applied, which is checked each time.
   * This check is repeated so that the result does not depend on that argument.
   */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

  private final SimulationEnvironment environment;
  private final OwnershipCheck check = new OwnershipCheck();
  private final SimulatedStore store;
  private final SimulatedDirectory directory;
  private final SimulatedNetwork network;
  private final SimulatedLoad load;
  private final ImmutableList<SimulatedUpstream> upstreams;
  private final ImmutableList<SimulatedHost> hosts;
  private final long seed;
  private boolean hasRequests;

  OwnershipSimulation(long seed, double faultProbability) {
    this(seed, faultProbability, UpstreamBehavior.STRICT);
  }

  OwnershipSimulation(long seed, double faultProbability, UpstreamBehavior behavior) {
    this(seed, faultProbability, behavior, USUAL_UPSTREAMS);
  }

  /** Creates a simulation with some number of upstreams. With fewer, keys come back more often. */
  OwnershipSimulation(
      long seed, double faultProbability, UpstreamBehavior behavior, int upstreamCount) {
    this.seed = seed;
    environment = new SimulationEnvironment(seed, faultProbability, behavior);
    store = new SimulatedStore(environment);
    directory = new SimulatedDirectory(environment, store);
    load = new SimulatedLoad(environment);
    upstreams =
        IntStream.range(0, upstreamCount)
            .mapToObj(i -> new SimulatedUpstream(environment, directory, i))
            .collect(ImmutableList.toImmutableList());
    network = new SimulatedNetwork(environment, upstreams);
    hosts =
        IntStream.range(0, HOSTS)
            .mapToObj(i -> new SimulatedHost(this, i))
            .collect(ImmutableList.toImmutableList());
    hosts.forEach(directory::subscribe);
    environment.every(CHECK_INTERVAL, this::checkAllKeys);
  }

  SimulationEnvironment environment() {
    return environment;
  }

  SimulatedStore store() {
    return store;
  }

  SimulatedDirectory directory() {
    return directory;
  }

  SimulatedNetwork network() {
    return network;
  }

  SimulatedLoad load() {
    return load;
  }

  ImmutableList<SimulatedUpstream> upstreams() {
    return upstreams;
  }

  ImmutableList<SimulatedHost> hosts() {
    return hosts;
  }

  /** Lets upstreams work on keys from now on, so that their releases take time. */
  void startRequests() {
    hasRequests = true;
    SimulatedRequests.start(environment, upstreams, seed);
  }

  boolean hasRequests() {
    return hasRequests;
  }

  ImmutableList<OwnershipViolation> violations() {
    return check.violations();
  }

  SimulationTrace trace() {
    return environment.trace();
  }

  void run(Duration duration) {
    environment.timers().advance(duration);
  }

  /** Returns the share of tracked keys that some upstream holds. */
  double heldShare() {
    long held = KeySample.KEYS.stream().filter(this::isHeld).count();
    return (double) held / KeySample.KEYS.size();
  }

  private boolean isHeld(int key) {
    return running().stream().anyMatch(p -> p.holds(key, environment.nowNanos()));
  }

  private ImmutableList<UpstreamProcess> running() {
    return upstreams.stream()
        .map(SimulatedUpstream::process)
        .flatMap(Optional::stream)
        .collect(ImmutableList.toImmutableList());
  }

  /** Applies a grant at an upstream and checks what it holds then. */
  GrantResult grant(
      UpstreamProcess process, RangeAction.Grant grant, long arrivedNanos, boolean isCounted) {
    GrantResult result = process.grant(grant, arrivedNanos, isCounted);
    if (isCounted && result instanceof GrantResult.Done) {
      check.grantApplied(process, grant.assignment(), running(), environment.nowNanos());
    }
    return result;
  }

  private void checkAllKeys() {
    check.checkAllKeys(running(), environment.nowNanos());
  }
}
