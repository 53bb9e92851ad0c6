package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.catkinlift.bench.Site;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.UpstreamId;

/** Adds dispatchers and requests in execution to an {@link OwnershipWorld} of one site. */
final class HandOverWorld {
  private static final Duration STEP = Duration.ofMillis(5);
  private static final long DUTIES_STEPS = 10;
  private static final long LOAD_STEPS = 50;
  private static final int SLOTS = 64;
  private static final int HOSTS_PER_ZONE = 3;

  private final OwnershipWorld world;
  private final SplittableRandom random;
  private final ReleaseFate fate;
  private final boolean reports;
  private final int limit;
  private final Map<HostId, Map<UpstreamId, FakeWorker>> workers = new HashMap<>();
  private final Map<UpstreamId, List<HostId>> running = new HashMap<>();
  private final Map<UpstreamId, Stop> stops = new HashMap<>();
  private final Map<HostId, Object> givenUp = new HashMap<>();
  private final List<Duration> handOvers = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final PriorityQueue<Timed> events = new PriorityQueue<>();
  private long steps;
  private long order;

  private record Stop(HostId host, long atNanos) {}

  private record Timed(long atNanos, long order, Runnable task) implements Comparable<Timed> {
    @Override
    public int compareTo(Timed other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime == 0 ? Long.compare(order, other.order) : byTime;
    }
  }

  HandOverWorld(Site site, GrantChecking checking, ReleaseFate fate, long seed) {
    this.random = new SplittableRandom(seed);
    this.fate = fate;
    this.reports = checking instanceof GrantChecking.Checked;
    this.limit = site.concurrencyLimit();
    var kind = new ServiceKind.Keyed(SLOTS, CutOffRule.hold(), checking);
    this.world =
        OwnershipWorlds.of(kind, site.zones(), HOSTS_PER_ZONE, site.keyedUpstreams(), limit);
  }

  OwnershipWorld world() {
    return world;
  }

  int limit() {
    return limit;
  }

  boolean reports() {
    return reports;
  }

  SplittableRandom random() {
    return random;
  }

  long nowNanos() {
    return world.nowNanos();
  }

  ImmutableList<String> violations() {
    return ImmutableList.copyOf(violations);
  }

  /** Returns the times from the last moment of one dispatcher to the first request of the next. */
  ImmutableList<Duration> handOvers() {
    return ImmutableList.copyOf(handOvers);
  }

  void forgetHandOvers() {
    handOvers.clear();
    stops.clear();
  }

  /** Lets time pass while every dispatcher has so many requests in execution or waiting. */
  void advance(Duration duration, int requestsPerUpstream) {
    long end = nowNanos() + duration.toNanos();
    while (nowNanos() < end) {
      world.advance(STEP);
      runEvents();
      steps++;
      for (FakeHost host : world.hosts()) {
        if (host.runs()) {
          step(host, requestsPerUpstream);
        }
      }
    }
  }

  private void runEvents() {
    while (!events.isEmpty() && events.peek().atNanos <= nowNanos()) {
      events.poll().task.run();
    }
  }

  void after(Duration delay, Runnable task) {
    events.add(new Timed(nowNanos() + delay.toNanos(), order++, task));
  }

  private void step(FakeHost host, int requests) {
    if (steps % DUTIES_STEPS == 0) {
      takeDuties(host);
    }
    if (steps % LOAD_STEPS == 0) {
      reportLoads(host);
    }
    workersOf(host.id()).values().forEach(w -> w.step(requests));
  }

  private void takeDuties(FakeHost host) {
    var duties = host.duties();
    Map<UpstreamId, FakeWorker> own = workersOf(host.id());
    duties
        .held()
        .forEach(
            l ->
                own.computeIfAbsent(l.upstream(), u -> new FakeWorker(this, host.id(), u))
                    .granted(l));
    ImmutableSet<UpstreamId> held =
        duties.held().stream().map(l -> l.upstream()).collect(ImmutableSet.toImmutableSet());
    own.values().stream()
        .filter(w -> !held.contains(w.upstream()))
        .forEach(w -> w.lost(duties.revoked().get(w.upstream())));
    if (!duties.revoked().equals(givenUp.put(host.id(), duties.revoked()))) {
      reportLoads(host);
    }
  }

  private Map<UpstreamId, FakeWorker> workersOf(HostId host) {
    return workers.computeIfAbsent(host, h -> new HashMap<>());
  }

  private void reportLoads(FakeHost host) {
    ImmutableList<UpstreamLoad> loads =
        workersOf(host.id()).values().stream()
            .map(FakeWorker::load)
            .collect(ImmutableList.toImmutableList());
    switch (fate) {
      case ReleaseFate.Delivered d -> report(host, loads);
      case ReleaseFate.Lost l -> report(host, withoutReleases(loads));
      case ReleaseFate.Late l -> after(l.delay(), () -> report(host, loads));
      case ReleaseFate.Repeated r -> {
        report(host, loads);
        after(r.after(), () -> report(host, loads));
      }
    }
  }

  private static void report(FakeHost host, ImmutableList<UpstreamLoad> loads) {
    host.handle(new ControlEvent.LoadReported(loads));
  }

  private static ImmutableList<UpstreamLoad> withoutReleases(ImmutableList<UpstreamLoad> loads) {
    return loads.stream()
        .map(
            l ->
                new UpstreamLoad(
                    l.upstream(),
                    l.instance(),
                    l.currentLimit(),
                    l.inFlight(),
                    l.queued(),
                    l.slotLoads(),
                    l.keyLoads()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Counts a request from the decision to send it until the upstream has executed it. */
  void sent(UpstreamId upstream, HostId by) {
    List<HostId> all = running.computeIfAbsent(upstream, u -> new ArrayList<>());
    all.add(by);
    if (all.size() > limit) {
      violations.add("at " + nowNanos() / 1_000_000 + " ms: " + upstream + " executes for " + all);
    }
    Stop stop = stops.get(upstream);
    if (stop != null && !stop.host.equals(by)) {
      handOvers.add(Duration.ofNanos(nowNanos() - stop.atNanos));
      stops.remove(upstream);
    }
  }

  void ended(UpstreamId upstream, HostId by) {
    running.get(upstream).remove(by);
  }

  void stopped(UpstreamId upstream, HostId by) {
    stops.put(upstream, new Stop(by, nowNanos()));
  }

  /** Returns how many requests of other daemons the upstream executes. */
  int runningOfOthers(UpstreamId upstream, HostId self) {
    return (int)
        running.getOrDefault(upstream, ImmutableList.of()).stream()
            .filter(h -> !h.equals(self))
            .count();
  }

  /** Takes hosts out by plan; those that return introduce themselves again. */
  void retire(ImmutableSet<HostId> retiring) {
    ImmutableSet<HostId> before = world.configuration().retiringHosts();
    world.accept(world.configuration().toBuilder().retiringHosts(retiring).build());
    world.hosts().stream()
        .filter(h -> before.contains(h.id()) && !retiring.contains(h.id()))
        .forEach(this::introduce);
  }

  private void introduce(FakeHost host) {
    var hello = new PeerMessage.Hello(host.self(), ImmutableSet.of(), false);
    world.hosts().forEach(h -> world.send(host.id(), h.id(), hello));
  }
}
