package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.upstreams.UpstreamRecord;

/** A host with its daemon. Its monotonic clock stops while it is suspended. */
final class SimulatedHost {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final Duration LOAD_TIME_CONSTANT = Duration.ofSeconds(2);
  private static final Duration GRANT_TIMEOUT = Duration.ofMillis(800);
  private static final Duration TERMINATION_TIME = Duration.ofMillis(500);
  private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(2_500);

  /** The rules do not count grants that arrive this soon after their sender was resumed. */
  private static final Duration RESUME_GRACE = Duration.ofMillis(300);

  private final OwnershipSimulation simulation;
  private final SimulationEnvironment environment;
  private final int index;
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private ImmutableList<UpstreamRecord> knownUpstreams = ImmutableList.of();
  private UnreachableUpstreams unreachable;
  private CoordinatorLease lease;
  private KeyLoad load;
  private Optional<RangeCoordinator> coordinator = Optional.empty();
  private boolean disconnectedFromStore;
  private boolean up = true;
  private boolean suspended;
  private long suspendedNanos;
  private long resumedAtNanos = -RESUME_GRACE.toNanos();
  private long incarnation;
  private long era;
  private long eraSeenNanos;

  SimulatedHost(OwnershipSimulation simulation, int index) {
    this.simulation = simulation;
    this.environment = simulation.environment();
    this.index = index;
    boot();
    environment.every(TICK, this::tick);
  }

  private void boot() {
    incarnation++;
    era = 0;
    coordinator = Optional.empty();
    unreachable = new UnreachableUpstreams();
    lease =
        new CoordinatorLease(
            HostId.of("host-" + index),
            NetworkAddress.of("10.0.0." + (index + 1), 7_000),
            incarnation,
            now());
  }

  int index() {
    return index;
  }

  CoordinatorLease lease() {
    return lease;
  }

  /** Returns the highest era of the store that the daemon has seen. */
  long era() {
    return era;
  }

  /** Handles the reply to a call of the store, or its absence. */
  void storeReplied(long calledIn, long repliedIn, Runnable answer) {
    if (repliedIn > era) {
      eraSeen(repliedIn);
    }
    if (calledIn == era) {
      answer.run();
    }
  }

  private void eraSeen(long newEra) {
    era = newEra;
    eraSeenNanos = nanos();
    lease.storeRestored(now());
    if (lease.mayContinueTerm()) {
      coordinator.ifPresent(c -> c.continueIn(era, nanos()));
    } else {
      stopCoordinator();
    }
  }

  void mapRead(RangeCoordinator requester, RangeMap read, long version) {
    if (version == 0 && era > 0) {
      requester.mapMissing(simulation.store().newestMap(), era, eraSeenNanos, nanos());
    } else {
      requester.mapRead(read, version, nanos());
    }
  }

  long nanos() {
    return environment.nowNanos() - suspendedNanos;
  }

  ClockReading now() {
    return new ClockReading(nanos(), environment.wallMillis());
  }

  boolean holdsRole() {
    return lease.isHeld(now());
  }

  boolean isDisconnectedFromStore() {
    return disconnectedFromStore;
  }

  void setDisconnectedFromStore(boolean disconnected) {
    disconnectedFromStore = disconnected;
  }

  boolean isSuspended() {
    return suspended;
  }

  void upstreamsChanged(ImmutableList<UpstreamRecord> records) {
    knownUpstreams = records;
    coordinator.ifPresent(RangeCoordinator::replanNow);
  }

  /** Runs a task, after the end of a suspension if there is one. */
  void runIfUp(Runnable task) {
    if (suspended) {
      deferredTasks.add(task);
    } else if (up) {
      task.run();
    }
  }

  /** Returns a task that runs if the daemon has not ended since now. */
  Runnable ifUnchanged(Runnable task) {
    long expected = incarnation;
    return () ->
        runIfUp(
            () -> {
              if (incarnation == expected) {
                task.run();
              }
            });
  }

  void crash(Duration downtime) {
    if (!up) {
      return;
    }
    up = false;
    deferredTasks.clear();
    environment.after(
        downtime,
        () -> {
          boot();
          up = true;
          simulation.directory().refreshLater(this);
        });
  }

  /** Gives up the role, which another host may take at once. */
  void stepDown() {
    if (up && !suspended) {
      lease.stepDown().ifPresent(v -> simulation.store().clearLease(this, v));
    }
  }

  /** Ends the daemon after it has given up the role. */
  void terminate(Duration downtime) {
    if (!up || suspended) {
      return;
    }
    boolean heldRole = lease.isHeld(now());
    long version = lease.rowVersion();
    lease.resign();
    if (heldRole) {
      simulation.store().clearLease(this, version);
    }
    environment.after(TERMINATION_TIME, () -> crash(downtime));
  }

  void suspend(Duration length) {
    if (suspended || !up) {
      return;
    }
    suspended = true;
    environment.after(length, () -> resume(length));
  }

  private void resume(Duration suspendedFor) {
    suspendedNanos += suspendedFor.toNanos();
    resumedAtNanos = environment.nowNanos();
    runDeferredTasks();
  }

  /** Keeps the daemon from doing anything for some time, while its clocks run on. */
  void stall(Duration length) {
    if (suspended || !up) {
      return;
    }
    suspended = true;
    environment.after(length, this::runDeferredTasks);
  }

  private void runDeferredTasks() {
    suspended = false;
    List<Runnable> tasks = new ArrayList<>(deferredTasks);
    deferredTasks.clear();
    tasks.forEach(this::runIfUp);
  }

  private void tick() {
    if (!up || suspended) {
      return;
    }
    switch (lease.next(now())) {
      case CoordinatorLease.Step.Idle idle -> {}
      case CoordinatorLease.Step.Read read -> simulation.store().readLease(this);
      case CoordinatorLease.Step.Write write -> simulation.store().writeLease(this, write);
    }
    if (!lease.isHeld(now())) {
      if (!lease.mayContinueTerm()) {
        stopCoordinator();
      }
      return;
    }
    if (coordinator.isEmpty()) {
      startCoordinator();
    }
    coordinator.get().setStoreFailing(lease.isStoreFailing(), nanos());
    simulation.load().addTo(load, TICK);
    decide(coordinator.get());
  }

  private void stopCoordinator() {
    coordinator.ifPresent(RangeCoordinator::stop);
    coordinator = Optional.empty();
  }

  private void startCoordinator() {
    environment.record(new SimulationEvent.RoleTaken(index));
    load = new KeyLoad(LOAD_TIME_CONSTANT, nanos());
    var started = new RangeCoordinator(MAX_GRANT_DURATION, load);
    started.start(nanos());
    coordinator = Optional.of(started);
  }

  private void decide(RangeCoordinator present) {
    unreachable.update(present.unreachable(), nanos());
    for (RangeAction action : present.tick(candidates(), nanos())) {
      switch (action) {
        case RangeAction.ReadMap read -> simulation.store().readMap(this, present);
        case RangeAction.WriteMap write ->
            simulation.store().writeMap(this, present, write, lease.claimVersion());
        case RangeAction.Grant grant -> send(present, grant.callId(), callFor(grant));
        case RangeAction.Release release -> send(present, release.callId(), callFor(release));
      }
    }
  }

  private void send(RangeCoordinator requester, long callId, SimulatedNetwork.Call call) {
    environment.record(call.sent());
    simulation
        .network()
        .send(
            this,
            call,
            result -> {
              environment.record(new SimulationEvent.CallEnded(call.sent(), result));
              requester.callEnded(callId, result, nanos());
            });
  }

  private ImmutableList<Candidate> candidates() {
    ImmutableList<UpstreamRecord> inService =
        knownUpstreams.stream().filter(u -> !u.draining()).collect(ImmutableList.toImmutableList());
    return unreachable.withoutUnreachable(inService).stream()
        .map(u -> new Candidate(u, u.concurrencyLimit(), true))
        .collect(ImmutableList.toImmutableList());
  }

  private SimulatedNetwork.Call callFor(RangeAction.Grant grant) {
    return new SimulatedNetwork.Call(
        new SimulationEvent.CallSent(index, grant),
        grant.assignment().holder(),
        GRANT_TIMEOUT,
        new GrantResult.HolderEnded(),
        (process, arrivedNanos) -> {
          boolean isCounted = isCounted(arrivedNanos);
          boolean mayApply = process.admits(grant) || !environment.behavior().checksAtArrival();
          return answer ->
              answer.accept(
                  mayApply
                      ? simulation.grant(process, grant, arrivedNanos, isCounted)
                      : new GrantResult.Outdated());
        });
  }

  private SimulatedNetwork.Call callFor(RangeAction.Release release) {
    var sent = new SimulationEvent.CallSent(index, release);
    return new SimulatedNetwork.Call(
        sent,
        release.from(),
        RELEASE_TIMEOUT,
        new GrantResult.HolderEnded(),
        (process, arrivedNanos) ->
            answer -> {
              environment.record(new SimulationEvent.ReleaseStarted(process, sent));
              process.release(release, answer);
            });
  }

  private boolean isCounted(long arrivedNanos) {
    long sinceResumedNanos = arrivedNanos - resumedAtNanos;
    return sinceResumedNanos < 0 || sinceResumedNanos >= RESUME_GRACE.toNanos();
  }
}
