package org.catkinlift.ranges;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/** Injects random faults into a simulation, one after another and several at once. */
final class RandomFaults {
  private static final Duration STEP = Duration.ofMillis(700);
  private static final int MAX_FAULTS_PER_STEP = 2;
  private static final int KINDS = 41;
  private static final int KINDS_WITH_SLOW_LINKS = 41;
  private static final Duration REBOOT_TIME = Duration.ofMillis(800);

  /** Longer than a grant, so that no release ends its hold. */
  private static final Duration LONG_CUT = Duration.ofSeconds(8);

  /** Longer than a new coordinator waits for the holds of an earlier one. */
  private static final Duration RESTART_INTERVAL = Duration.ofSeconds(15);

  /** Shorter than the wait of a coordinator that takes the role after a restore. */
  private static final Duration RESTORE_INTERVAL = Duration.ofSeconds(10);

  private static final int UNLISTED_AT_ONCE = 6;
  private static final Duration OUTAGE_SLOWNESS = Duration.ofSeconds(4);
  private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

  private final OwnershipSimulation simulation;
  private final SplittableRandom random;
  private final boolean withSlowLinks;

  RandomFaults(OwnershipSimulation simulation) {
    this(simulation, false);
  }

  private RandomFaults(OwnershipSimulation simulation, boolean withSlowLinks) {
    this.simulation = simulation;
    this.withSlowLinks = withSlowLinks;
    this.random = simulation.environment().random();
  }

  /** Returns faults among which are slow links, so that many grants arrive late. */
  static RandomFaults withSlowLinks(OwnershipSimulation simulation) {
    return new RandomFaults(simulation, true);
  }

  /** Runs the simulation with faults. Those that have no end of their own end with this call. */
  void run(Duration length) {
    long steps = length.dividedBy(STEP);
    for (long i = 0; i < steps; i++) {
      simulation.run(STEP);
      int faults = random.nextInt(MAX_FAULTS_PER_STEP + 1);
      for (int fault = 0; fault < faults; fault++) {
        inject();
      }
    }
    simulation.hosts().forEach(h -> h.setDisconnectedFromStore(false));
    simulation.store().setDown(false);
  }

  /**
   * Runs the simulation with restarts of all hosts among the other faults, one in each interval.
   */
  void runWithRestartsOfAllHosts(Duration length) {
    for (long i = 0; i < length.dividedBy(RESTART_INTERVAL); i++) {
      restartAllHosts();
      run(RESTART_INTERVAL);
    }
  }

  /** Runs the simulation with restores of the store among the other faults. */
  void runWithRestores(Duration length) {
    for (long i = 0; i < length.dividedBy(RESTORE_INTERVAL); i++) {
      restoreStore();
      run(RESTORE_INTERVAL);
    }
  }

  /** Makes the store unavailable, most often for a short time, and restores it then. */
  private void restoreStore() {
    Duration outage = Duration.ofMillis(random.nextInt(random.nextInt(4) == 0 ? 8_000 : 1_500));
    simulation.store().setDown(true);
    simulation.environment().after(outage, this::restoreNow);
    switch (random.nextInt(5)) {
      case 0 -> pick(simulation.hosts()).setDisconnectedFromStore(true);
      case 1 -> simulation.hosts().forEach(h -> h.crash(REBOOT_TIME));
      case 2 ->
          simulation
              .environment()
              .after(outage.plusMillis(random.nextInt(3_000)), this::restoreNow);
      case 3 -> unlistSeveral();
      default -> {}
    }
  }

  private void restoreNow() {
    simulation.store().restore(Duration.ofMillis(random.nextInt(6_000)));
    simulation.store().setDown(false);
  }

  private void inject() {
    SimulatedHost host = pick(simulation.hosts());
    SimulatedUpstream upstream = pick(simulation.upstreams());
    Duration length = Duration.ofMillis(200 + random.nextInt(9_000));
    switch (random.nextInt(withSlowLinks ? KINDS_WITH_SLOW_LINKS : KINDS)) {
      case 0 -> host.crash(length);
      case 1 -> host.suspend(length);
      case 2 -> host.setDisconnectedFromStore(!host.isDisconnectedFromStore());
      case 3 -> simulation.store().setDown(!simulation.store().isDown());
      case 4 -> simulation.hosts().forEach(h -> h.crash(REBOOT_TIME));
      case 5 -> upstream.restart(length);
      case 6, 7, 8 -> upstream.restart(shortDowntime());
      case 9 -> upstream.replace(shortDowntime());
      case 10 -> upstream.replace(length);
      case 11 -> upstream.retire(DRAIN_TIME, shortDowntime());
      case 12 -> upstream.unlist(length);
      case 13 -> cutFromAllHosts(upstream, length);
      case 14 -> cutFromAllHosts(upstream, shortDowntime());
      case 15, 16 -> simulation.network().cut(host, upstream, length);
      case 17 -> cutSeveral(host, length);
      case 18 -> cutAndRestart(upstream, length);
      case 19, 20, 21 -> {
        if (withSlowLinks) {
          slowThenCut(upstream, length);
        }
      }
      case 22, 23, 24, 25, 26 -> {
        if (simulation.hasRequests()) {
          disturbWork(upstream);
        }
      }
      case 27, 28 -> host.stall(shortDowntime());
      case 29 -> host.stall(length);
      case 30, 31 -> upstream.relocate(shortDowntime());
      case 32 -> restartAllHosts();
      case 33 -> storeOutage();
      case 34, 35 -> simulation.hosts().forEach(SimulatedHost::stepDown);
      case 36 -> simulation.hosts().forEach(h -> h.terminate(length));
      case 37, 38, 39 -> {
        if (withSlowLinks) {
          suspendOnSlowLinks(host);
        }
      }
      default -> {}
    }
  }

  /**
   * Moves the keys of an upstream away while it works on them. A short removal moves them back soon
   * after, a cut loses the answers to the releases, and a restart ends the work that they wait for.
   */
  private void disturbWork(SimulatedUpstream upstream) {
    Duration delay = Duration.ofMillis(random.nextInt(1_500));
    upstream.unlist(Duration.ofMillis(300 + random.nextInt(2_000)));
    switch (random.nextInt(3)) {
      case 0 ->
          simulation.environment().after(delay, () -> cutFromAllHosts(upstream, shortDowntime()));
      case 1 ->
          simulation
              .environment()
              .after(delay, () -> upstream.restart(Duration.ofMillis(1 + random.nextInt(300))));
      default -> unlistSeveral();
    }
  }

  /** Removes upstreams shortly after each other, so that keys move before a move has ended. */
  private void unlistSeveral() {
    for (int i = 0; i < UNLISTED_AT_ONCE; i++) {
      SimulatedUpstream upstream = pick(simulation.upstreams());
      Duration length = Duration.ofMillis(200 + random.nextInt(800));
      simulation
          .environment()
          .after(Duration.ofMillis(random.nextInt(3_000)), () -> upstream.unlist(length));
    }
  }

  /** Restarts all hosts at once, and slows down the many first grants that follow. */
  private void restartAllHosts() {
    Duration length = Duration.ofMillis(random.nextInt(4_000));
    simulation.hosts().forEach(h -> h.crash(REBOOT_TIME));
    for (SimulatedHost host : simulation.hosts()) {
      simulation.upstreams().stream()
          .filter(u -> random.nextInt(2) == 0)
          .forEach(u -> simulation.network().slow(host, u, REBOOT_TIME.plus(length)));
    }
  }

  /** Makes the role lapse and return to the same process, with calls that still wait. */
  private void storeOutage() {
    simulation.hosts().forEach(this::slowAll);
    simulation.store().setDown(true);
    simulation
        .environment()
        .after(
            Duration.ofMillis(1_500 + random.nextInt(1_500)),
            () -> simulation.store().setDown(false));
  }

  /** Suspends a host while its calls take long to connect, for longer than its role lasts. */
  private void suspendOnSlowLinks(SimulatedHost host) {
    slowAll(host);
    Duration delay = Duration.ofMillis(random.nextInt(1_500));
    Duration length = Duration.ofMillis(2_500 + random.nextInt(14_000));
    simulation.environment().after(delay, () -> host.suspend(length));
  }

  private void slowAll(SimulatedHost host) {
    simulation.upstreams().forEach(u -> simulation.network().slow(host, u, OUTAGE_SLOWNESS));
  }

  private <T> T pick(List<T> items) {
    return items.get(random.nextInt(items.size()));
  }

  private Duration shortDowntime() {
    return Duration.ofMillis(100 + random.nextInt(1_500));
  }

  private void cutFromAllHosts(SimulatedUpstream upstream, Duration length) {
    simulation.hosts().forEach(h -> simulation.network().cut(h, upstream, length));
  }

  /** Cuts a host off from about a third of the upstreams, more than it counts as unreachable. */
  private void cutSeveral(SimulatedHost host, Duration length) {
    simulation.upstreams().stream()
        .filter(u -> random.nextInt(3) == 0)
        .forEach(u -> simulation.network().cut(host, u, length));
  }

  /** Restarts an upstream that cannot confirm a release afterwards. */
  private void cutAndRestart(SimulatedUpstream upstream, Duration length) {
    Duration downtime = shortDowntime();
    upstream.restart(downtime);
    simulation
        .environment()
        .after(downtime.plusMillis(random.nextInt(1_500)), () -> cutFromAllHosts(upstream, length));
  }

  /** Delays calls to an upstream, so that the last one before a cut is likely to arrive late. */
  private void slowThenCut(SimulatedUpstream upstream, Duration length) {
    simulation.hosts().forEach(h -> simulation.network().slow(h, upstream, length));
    simulation.environment().after(length, () -> cutFromAllHosts(upstream, LONG_CUT));
  }
}
