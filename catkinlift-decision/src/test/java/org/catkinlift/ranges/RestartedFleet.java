package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.timer.VirtualTimerService;

/**
 * A deployment after a restart of all its hosts, on virtual time: the store has a map, no upstream
 * holds keys, and one host takes the coordinator role. Its control thread spends processor time on
 * each round of decisions and each step of a call, and loses the role if a round is too late to
 * renew it.
 */
final class RestartedFleet {
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration BACKLOGGED_TICK_INTERVAL = Duration.ofMillis(20);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);
  private static final Duration ROUND_TRIP = Duration.ofMillis(3);
  private static final Duration STORE_DELAY = Duration.ofMillis(6);

  /** The role lasts 1.8 s and is renewed every 0.6 s. */
  private static final Duration MAX_ROUND_DELAY = Duration.ofMillis(1_200);

  private static final int HOSTS = 95;
  private static final Duration TIME_WITHOUT_ROLE = Duration.ofSeconds(2);

  /** Processor time on a slow host; a call takes 2.5 ms in all. */
  private static final Duration ROUND_TIME = Duration.ofMillis(2);

  private static final Duration START_TIME = Duration.ofNanos(500_000);
  private static final Duration CONNECTED_TIME = Duration.ofNanos(1_250_000);
  private static final Duration ANSWERED_TIME = Duration.ofNanos(750_000);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final SimulatedControlThread thread;
  private final KeyLoad load = new KeyLoad(Duration.ofSeconds(2), 0);
  private final Map<KeyRange, Long> heldUntilNanos = new HashMap<>();
  private ImmutableList<Candidate> candidates;
  private final ImmutableSet<UpstreamId> silent;
  private RangeCoordinator coordinator;
  private RangeMap storedMap;
  private long storedVersion = 1;
  private long lastRoundNanos;
  private int rolesTaken;
  private int callsStarted;
  private int mapsWritten;
  private boolean upstreamsRestart;
  private int restarts;

  /**
   * Creates a deployment.
   *
   * @param upstreams the number of upstreams
   * @param rangesEach the number of ranges of each upstream
   * @param silentUpstreams how many upstreams accept no connection
   * @param speed how many times as fast as a slow host the coordinator is
   */
  RestartedFleet(int upstreams, int rangesEach, int silentUpstreams, int speed) {
    thread = new SimulatedControlThread(timers, speed);
    candidates =
        IntStream.range(0, upstreams)
            .mapToObj(i -> TestCandidates.candidate(i, 1))
            .collect(ImmutableList.toImmutableList());
    silent =
        candidates.stream()
            .limit(silentUpstreams)
            .map(c -> c.upstream().id())
            .collect(ImmutableSet.toImmutableSet());
    storedMap = mapOf(candidates, upstreams * rangesEach);
    takeRole();
    scheduleRound(TICK_INTERVAL);
  }

  private static RangeMap mapOf(ImmutableList<Candidate> candidates, int ranges) {
    ImmutableList.Builder<RangeAssignment> assignments = ImmutableList.builder();
    for (int i = 0; i < ranges; i++) {
      var range =
          new KeyRange(
              (int) ((long) KeyRange.KEY_COUNT * i / ranges),
              (int) ((long) KeyRange.KEY_COUNT * (i + 1) / ranges) - 1);
      Holder holder = Holder.of(candidates.get(i % candidates.size()).upstream());
      assignments.add(new RangeAssignment(range, holder, i + 1, ImmutableList.of()));
    }
    return new RangeMap(ranges + 1, assignments.build());
  }

  private void takeRole() {
    rolesTaken++;
    coordinator = new RangeCoordinator(MAX_GRANT_DURATION, load);
    coordinator.setHostCount(HOSTS);
    coordinator.start(timers.nowNanos());
    lastRoundNanos = timers.nowNanos();
  }

  private void scheduleRound(Duration delay) {
    thread.runAfter(delay, ROUND_TIME, this::round);
  }

  private void round() {
    long nowNanos = timers.nowNanos();
    if (nowNanos - lastRoundNanos > MAX_ROUND_DELAY.toNanos()) {
      coordinator.stop();
      takeRole();
      lastRoundNanos = nowNanos + TIME_WITHOUT_ROLE.toNanos();
      scheduleRound(TIME_WITHOUT_ROLE);
      return;
    }
    lastRoundNanos = nowNanos;
    if (upstreamsRestart) {
      restartNextUpstream();
    }
    coordinator.tick(candidates, nowNanos).forEach(this::execute);
    scheduleRound(coordinator.isBacklogged() ? BACKLOGGED_TICK_INTERVAL : TICK_INTERVAL);
  }

  private void restartNextUpstream() {
    restarts++;
    int restarted = restarts % candidates.size();
    candidates =
        IntStream.range(0, candidates.size())
            .mapToObj(
                i -> i == restarted ? TestCandidates.candidate(i, 1 + restarts) : candidates.get(i))
            .collect(ImmutableList.toImmutableList());
    coordinator.replanNow();
  }

  private void execute(RangeAction action) {
    RangeCoordinator caller = coordinator;
    switch (action) {
      case RangeAction.ReadMap read ->
          thread.runAfter(
              STORE_DELAY,
              ROUND_TIME,
              () -> caller.mapRead(storedMap, storedVersion, timers.nowNanos()));
      case RangeAction.WriteMap write ->
          thread.runAfter(STORE_DELAY, ROUND_TIME, () -> written(caller, write));
      case RangeAction.Grant grant ->
          thread.run(
              START_TIME, () -> connect(grant, result -> end(caller, grant.callId(), result)));
      case RangeAction.Release release ->
          end(caller, release.callId(), new GrantResult.Done(Optional.of("h")));
    }
  }

  private void written(RangeCoordinator caller, RangeAction.WriteMap write) {
    mapsWritten++;
    storedVersion++;
    storedMap = write.map();
    caller.mapWritten(storedVersion, timers.nowNanos());
  }

  private void end(RangeCoordinator caller, long callId, GrantResult result) {
    caller.callEnded(callId, result, timers.nowNanos());
  }

  private void connect(RangeAction.Grant grant, Consumer<GrantResult> callback) {
    callsStarted++;
    long startNanos = timers.nowNanos();
    boolean isSilent = silent.contains(grant.assignment().holder().upstream());
    Duration delay = isSilent ? CONNECT_TIMEOUT.plusNanos(1) : ROUND_TRIP;
    thread.runAfter(
        delay,
        CONNECTED_TIME,
        () -> {
          if (isOlderThan(startNanos, CONNECT_TIMEOUT)) {
            callback.accept(new GrantResult.NotSent("connection not established in time"));
          } else {
            send(grant, callback);
          }
        });
  }

  private void send(RangeAction.Grant grant, Consumer<GrantResult> callback) {
    long sentNanos = timers.nowNanos();
    heldUntilNanos.merge(
        grant.assignment().range(), sentNanos + grant.duration().toNanos(), Math::max);
    thread.runAfter(
        ROUND_TRIP,
        ANSWERED_TIME,
        () ->
            callback.accept(
                isOlderThan(sentNanos, RESPONSE_TIMEOUT)
                    ? new GrantResult.Unanswered("timeout")
                    : new GrantResult.Done(Optional.empty())));
  }

  private boolean isOlderThan(long sinceNanos, Duration age) {
    return timers.nowNanos() - sinceNanos > age.toNanos();
  }

  /** Restarts one upstream in each round from now on. */
  void startRestartsOfUpstreams() {
    upstreamsRestart = true;
  }

  void run(Duration duration) {
    timers.advance(duration);
  }

  /** Returns the share of keys whose upstream holds them, among the upstreams that answer. */
  double heldShare() {
    long held = 0;
    long all = 0;
    for (RangeAssignment assignment : storedMap.assignments()) {
      if (silent.contains(assignment.holder().upstream())) {
        continue;
      }
      all += assignment.range().size();
      if (heldUntilNanos.getOrDefault(assignment.range(), 0L) >= timers.nowNanos()) {
        held += assignment.range().size();
      }
    }
    return (double) held / all;
  }

  int rolesTaken() {
    return rolesTaken;
  }

  int callsStarted() {
    return callsStarted;
  }

  int mapsWritten() {
    return mapsWritten;
  }
}
