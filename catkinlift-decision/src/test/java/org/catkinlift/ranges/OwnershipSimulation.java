package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.timer.VirtualTimerService;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Simulates hosts, a store and upstreams on virtual time, with the faults that can occur on the
 * platform. Checks ownership by what the upstreams hold.
 */
final class OwnershipSimulation {
  static final int HOSTS = 3;
  private static final int UPSTREAMS = 6;
  private static final int SAMPLE_STEP = 1_024;
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);
  private static final Duration RESUME_GRACE = Duration.ofMillis(300);

  /** Factor by which the clocks of upstreams run slow. */
  private static final double CLOCK_SLOWDOWN = 1.02;

  final VirtualTimerService timers = new VirtualTimerService();
  final List<String> violations = new ArrayList<>();
  final Store store = new Store();
  final List<Host> hosts = new ArrayList<>();
  final List<Upstream> upstreams = new ArrayList<>();
  private final SplittableRandom random;
  private final double faultProbability;

  OwnershipSimulation(long seed, double faultProbability) {
    this.random = new SplittableRandom(seed);
    this.faultProbability = faultProbability;
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(new Upstream(i));
    }
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new Host(i));
    }
  }

  void run(Duration duration) {
    timers.advance(duration);
  }

  /** Returns the share of sampled keys that some live upstream holds. */
  double heldShare() {
    int held = 0;
    int total = 0;
    for (int key = 0; key < KeyRange.KEY_COUNT; key += SAMPLE_STEP) {
      total++;
      held += holdersOf(key).isEmpty() ? 0 : 1;
    }
    return (double) held / total;
  }

  private List<Upstream> holdersOf(int key) {
    return upstreams.stream().filter(u -> u.alive && u.holds(key)).toList();
  }

  private long randomDelayNanos() {
    return Duration.ofMillis(1).toNanos() + random.nextLong(Duration.ofMillis(8).toNanos());
  }

  private boolean randomFault() {
    return random.nextDouble() < faultProbability;
  }

  private void after(long nanos, Runnable task) {
    var unused = timers.after(Duration.ofNanos(nanos), task);
  }

  private long wallMillis() {
    return timers.nowNanos() / 1_000_000;
  }

  /** A linearizable store whose replies may be lost and whose operations may be applied late. */
  final class Store {
    boolean down;
    private long version;
    private Optional<LeaseRow> lease = Optional.empty();
    private long leaseVersion;
    private long claimVersion;
    private RangeMap map = RangeMap.EMPTY;
    private long mapVersion;

    private void call(Host from, Runnable operation, Runnable onTimeout) {
      boolean unavailable = down || from.disconnectedFromStore;
      if (unavailable || randomFault()) {
        if (!unavailable && random.nextBoolean()) {
          long delayNanos =
              random.nextBoolean() ? randomDelayNanos() : Duration.ofSeconds(3).toNanos();
          after(delayNanos, () -> runWithoutReply(operation));
        }
        after(STORE_TIMEOUT.toNanos(), onTimeout);
        return;
      }
      after(randomDelayNanos(), operation);
    }

    /** Applies an operation whose reply is lost. */
    private void runWithoutReply(Runnable operation) {
      repliesDropped = true;
      operation.run();
      repliesDropped = false;
    }

    private boolean repliesDropped;

    private void reply(Runnable answer) {
      if (!repliesDropped) {
        after(randomDelayNanos(), answer);
      }
    }

    void writeLease(Host from, CoordinatorLease.Step.Write write) {
      call(
          from,
          () -> {
            if (leaseVersion != write.expectedVersion()) {
              reply(() -> from.runIfUp(from.lease::writeConflicted));
              return;
            }
            version++;
            leaseVersion = version;
            lease = Optional.of(write.row());
            if (write.isClaim()) {
              claimVersion = version;
            }
            long written = version;
            reply(() -> from.runIfUp(() -> from.lease.rowWritten(written, from.now())));
          },
          () -> from.runIfUp(from.lease::callFailed));
    }

    void readLease(Host from) {
      call(
          from,
          () -> {
            Optional<LeaseRow> row = lease;
            long read = leaseVersion;
            reply(() -> from.runIfUp(() -> from.lease.rowRead(row, read, from.now())));
          },
          () -> from.runIfUp(from.lease::callFailed));
    }

    void readMap(Host from) {
      RangeCoordinator requester = from.coordinator;
      call(
          from,
          () -> {
            RangeMap read = map;
            long readVersion = mapVersion;
            reply(() -> from.runIfUp(() -> requester.mapRead(read, readVersion, from.nanos())));
          },
          () -> from.runIfUp(() -> requester.storeCallFailed(from.nanos())));
    }

    void writeMap(Host from, RangeAction.WriteMap write, long expectedClaim) {
      RangeCoordinator requester = from.coordinator;
      call(
          from,
          () -> {
            if (mapVersion != write.expectedVersion() || claimVersion != expectedClaim) {
              reply(() -> from.runIfUp(() -> requester.storeCallFailed(from.nanos())));
              return;
            }
            version++;
            mapVersion = version;
            map = write.map();
            long written = version;
            reply(() -> from.runIfUp(() -> requester.mapWritten(written, from.nanos())));
          },
          () -> from.runIfUp(() -> requester.storeCallFailed(from.nanos())));
    }
  }

  /** A host with its daemon. Its monotonic clock stops while it is suspended. */
  final class Host {
    private final int index;
    boolean disconnectedFromStore;
    private boolean up = true;
    private boolean suspended;
    private long suspendedNanos;
    private long resumedAtNanos = -Duration.ofSeconds(1).toNanos();
    private long incarnation;
    private CoordinatorLease lease;
    private RangeCoordinator coordinator;
    private boolean hadRole;
    private final List<Runnable> deferredTasks = new ArrayList<>();

    private Host(int index) {
      this.index = index;
      boot();
      var unused = timers.every(TICK, this::tick);
    }

    private void boot() {
      incarnation++;
      hadRole = false;
      lease =
          new CoordinatorLease(
              HostId.of("host-" + index),
              NetworkAddress.of("10.0.0." + (index + 1), 7_000),
              incarnation,
              now());
      coordinator =
          new RangeCoordinator(MAX_GRANT_DURATION, new KeyLoad(Duration.ofSeconds(3), nanos()));
    }

    private long nanos() {
      return timers.nowNanos() - suspendedNanos;
    }

    private ClockReading now() {
      return new ClockReading(nanos(), wallMillis());
    }

    private void runIfUp(Runnable task) {
      if (suspended) {
        deferredTasks.add(task);
      } else if (up) {
        task.run();
      }
    }

    void crash(Duration downtime) {
      up = false;
      after(
          downtime.toNanos(),
          () -> {
            boot();
            up = true;
          });
    }

    void suspend(Duration length) {
      if (suspended || !up) {
        return;
      }
      suspended = true;
      after(
          length.toNanos(),
          () -> {
            suspendedNanos += length.toNanos();
            suspended = false;
            resumedAtNanos = timers.nowNanos();
            List<Runnable> tasks = new ArrayList<>(deferredTasks);
            deferredTasks.clear();
            tasks.forEach(this::runIfUp);
          });
    }

    boolean hasJustResumed() {
      return timers.nowNanos() - resumedAtNanos < RESUME_GRACE.toNanos();
    }

    private void tick() {
      if (!up || suspended) {
        return;
      }
      switch (lease.next(now())) {
        case CoordinatorLease.Step.Idle idle -> {}
        case CoordinatorLease.Step.Read read -> store.readLease(this);
        case CoordinatorLease.Step.Write write -> store.writeLease(this, write);
      }
      boolean held = lease.isHeld(now());
      if (held && !hadRole) {
        coordinator.start(nanos());
      } else if (!held && hadRole) {
        coordinator.stop();
      }
      hadRole = held;
      if (held) {
        coordinator.setStoreFailing(lease.isStoreFailing(), nanos());
        decide();
      }
    }

    private void decide() {
      ImmutableList<UpstreamRecord> known =
          upstreams.stream()
              .filter(u -> u.listed)
              .map(u -> u.publishedRecord)
              .collect(ImmutableList.toImmutableList());
      ImmutableList<Candidate> candidates =
          known.stream()
              .map(u -> new Candidate(u, 4, true))
              .collect(ImmutableList.toImmutableList());
      for (RangeAction action : coordinator.tick(candidates, nanos())) {
        switch (action) {
          case RangeAction.ReadMap read -> store.readMap(this);
          case RangeAction.WriteMap write -> store.writeMap(this, write, lease.claimVersion());
          case RangeAction.Grant grant ->
              deliver(
                  grant.assignment().holder(),
                  grant.callId(),
                  (upstream, arrived) -> upstream.grant(this, grant, arrived));
          case RangeAction.Release release ->
              deliver(
                  release.from(),
                  release.callId(),
                  (upstream, arrived) -> upstream.release(release));
        }
      }
    }

    private interface CallHandler {
      GrantResult handle(Upstream upstream, long arrivedNanos);
    }

    private void deliver(Holder holder, long callId, CallHandler handler) {
      RangeCoordinator requester = coordinator;
      Consumer<GrantResult> done =
          result -> runIfUp(() -> requester.callEnded(callId, result, nanos()));
      Upstream upstream =
          upstreams.stream().filter(u -> u.id.equals(holder.upstream())).findFirst().orElseThrow();
      if (!upstream.isIncarnation(holder) || upstream.unreachable) {
        after(CALL_TIMEOUT.toNanos(), () -> done.accept(new GrantResult.NotSent()));
        return;
      }
      boolean onTime = !randomFault();
      boolean answered = onTime && !randomFault();
      long delayNanos = onTime ? 0 : Duration.ofMillis(2_000 + random.nextInt(10_000)).toNanos();
      boolean lost = !onTime && random.nextBoolean();
      after(
          randomDelayNanos(),
          () -> {
            long arrived = timers.nowNanos();
            after(
                delayNanos,
                () -> {
                  if (lost || !upstream.isIncarnation(holder)) {
                    return;
                  }
                  GrantResult result = handler.handle(upstream, arrived);
                  if (answered) {
                    after(randomDelayNanos(), () -> done.accept(result));
                  }
                });
          });
      if (!answered) {
        after(CALL_TIMEOUT.toNanos(), () -> done.accept(new GrantResult.Unanswered()));
      }
    }
  }

  /** An upstream that measures its grants by its own slow clock. */
  final class Upstream {
    private final UpstreamId id;
    boolean unreachable;
    boolean listed = true;
    private boolean alive = true;
    private long incarnation = 1;
    private UpstreamRecord publishedRecord;
    private final Map<Integer, Long> fences = new HashMap<>();
    private final Map<Integer, Long> grantedFences = new HashMap<>();
    private final Map<Integer, Long> heldUntilNanos = new HashMap<>();

    private Upstream(int index) {
      this.id = UpstreamId.of("u-" + index);
      this.publishedRecord = record(index);
    }

    private UpstreamRecord record(int index) {
      return UpstreamRecord.builder()
          .id(id)
          .startedMillis(incarnation)
          .service(ServiceName.of("desk"))
          .address(NetworkAddress.of("10.0.1." + (index + 1), 80))
          .zone(ZoneName.of("z"))
          .concurrencyLimit(4)
          .build();
    }

    private boolean isIncarnation(Holder holder) {
      return alive && holder.startedMillis() == incarnation;
    }

    private boolean holds(int key) {
      return heldUntilNanos.getOrDefault(key, 0L) > timers.nowNanos();
    }

    private List<Integer> sampledKeys(KeyRange range) {
      List<Integer> keys = new ArrayList<>();
      for (int key = 0; key < KeyRange.KEY_COUNT; key += SAMPLE_STEP) {
        if (range.contains(key)) {
          keys.add(key);
        }
      }
      return keys;
    }

    private GrantResult grant(Host from, RangeAction.Grant grant, long arrivedNanos) {
      long fence = grant.assignment().fence();
      List<Integer> keys = sampledKeys(grant.assignment().range());
      if (keys.stream().anyMatch(k -> fences.getOrDefault(k, 0L) > fence)) {
        return new GrantResult.Outdated();
      }
      long expiryNanos = arrivedNanos + (long) (grant.duration().toNanos() * CLOCK_SLOWDOWN);
      for (int key : keys) {
        fences.put(key, fence);
        grantedFences.put(key, fence);
        heldUntilNanos.merge(key, expiryNanos, Math::max);
        if (expiryNanos > timers.nowNanos() && !from.hasJustResumed()) {
          checkExclusive(key, fence);
        }
      }
      return new GrantResult.Done(Optional.empty());
    }

    private void checkExclusive(int key, long fence) {
      for (Upstream other : upstreams) {
        if (other == this || !other.alive) {
          continue;
        }
        if (other.holds(key)) {
          violations.add(
              "key " + key + " held by " + other.id + " and " + id + " at " + wallMillis());
        }
        if (other.grantedFences.getOrDefault(key, 0L) >= fence) {
          violations.add("key " + key + " fence " + fence + " is not above that of " + other.id);
        }
      }
    }

    private GrantResult release(RangeAction.Release release) {
      for (int key : sampledKeys(release.range())) {
        fences.merge(key, release.fence(), Math::max);
        heldUntilNanos.put(key, 0L);
      }
      return new GrantResult.Done(Optional.of("handover"));
    }

    void crash(Duration downtime) {
      alive = false;
      listed = false;
      fences.clear();
      grantedFences.clear();
      heldUntilNanos.clear();
      after(
          downtime.toNanos(),
          () -> {
            incarnation++;
            alive = true;
            publishedRecord = record(upstreams.indexOf(this));
            listed = true;
          });
    }

    /**
     * Removes the record of the upstream from the store for some time although the upstream is
     * alive.
     */
    void unlist(Duration length) {
      listed = false;
      after(length.toNanos(), () -> listed = alive);
    }

    void disconnect(Duration length) {
      unreachable = true;
      after(length.toNanos(), () -> unreachable = false);
    }
  }

  SplittableRandom random() {
    return random;
  }
}
