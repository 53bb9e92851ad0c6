package org.catkinlift.ranges;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.timer.VirtualTimerService;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Drives one coordinator on virtual time, with a store that always answers and scripted outcomes of
 * the calls to upstreams. Records each key that two upstreams hold at once.
 */
final class CoordinatorDriver {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration STORE_DELAY = Duration.ofMillis(5);
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final Duration RUN_LIMIT = Duration.ofSeconds(30);

  /** The time after which a release without an answer is given up. */
  private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(2_500);

  private static final CallOutcome PROMPT =
      new CallOutcome.Answered(Duration.ofMillis(5), Duration.ofMillis(5));

  private static final GrantResult UNANSWERED = new GrantResult.Unanswered("timeout");

  private final VirtualTimerService timers = new VirtualTimerService();
  private final KeyLoad load = new KeyLoad(Duration.ofSeconds(2), 0);
  private final Map<UpstreamId, UpstreamProcess> processes = new LinkedHashMap<>();
  private final Map<UpstreamId, CallOutcome> grantOutcomes = new LinkedHashMap<>();
  private final Map<UpstreamId, CallOutcome> releaseOutcomes = new LinkedHashMap<>();
  private final Map<Integer, Double> busySlots = new LinkedHashMap<>();
  private final Set<Long> releasesInFlight = new HashSet<>();
  private final OwnershipCheck check = new OwnershipCheck();
  private UpstreamBehavior behavior = UpstreamBehavior.STRICT;
  private RangeCoordinator coordinator;
  private RangeMap storedMap = RangeMap.EMPTY;
  private long storedVersion;
  private ImmutableList<Candidate> candidates = ImmutableList.of();

  CoordinatorDriver() {
    replaceCoordinator();
    var unused = timers.every(TICK, this::tick);
  }

  /** Another daemon takes the role. It knows what the store holds and nothing of earlier calls. */
  void replaceCoordinator() {
    coordinator = new RangeCoordinator(MAX_GRANT_DURATION, load);
    coordinator.start(timers.nowNanos());
  }

  void setStoreFailing(boolean failing) {
    coordinator.setStoreFailing(failing, timers.nowNanos());
  }

  /** Sets the behavior of the upstreams that start from now on. */
  void setBehavior(UpstreamBehavior newBehavior) {
    behavior = newBehavior;
  }

  /** Sets the only upstreams that may hold keys from now on. */
  void setCandidates(UpstreamRecord... records) {
    candidates =
        ImmutableList.copyOf(records).stream()
            .map(r -> new Candidate(r, r.concurrencyLimit(), true))
            .collect(ImmutableList.toImmutableList());
    coordinator.replanNow();
  }

  /** Sets the outcome of the calls that are sent to an upstream from now on. */
  void setOutcome(UpstreamRecord upstream, CallOutcome outcome) {
    setGrantOutcome(upstream, outcome);
    setReleaseOutcome(upstream, outcome);
  }

  void setGrantOutcome(UpstreamRecord upstream, CallOutcome outcome) {
    grantOutcomes.put(upstream.id(), outcome);
  }

  void setReleaseOutcome(UpstreamRecord upstream, CallOutcome outcome) {
    releaseOutcomes.put(upstream.id(), outcome);
  }

  /** Ends the run of an upstream and starts another one at the same address with the same id. */
  void restart(UpstreamRecord upstream) {
    processOf(upstream.id()).end();
    processes.put(
        upstream.id(), new UpstreamProcess(upstream.id(), upstream.startedMillis(), behavior));
  }

  /** Starts to execute a request at an upstream that holds its key. */
  void startWork(UpstreamRecord upstream, int key, Duration duration) {
    UpstreamProcess process = processOf(upstream.id());
    long execution = process.startWork(key, timers.nowNanos()).orElseThrow();
    after(
        duration,
        () -> {
          boolean unusedSuccess = process.endWork(execution, timers.nowNanos());
        });
  }

  boolean isAtWork(UpstreamRecord upstream, int key) {
    return processOf(upstream.id()).isAtWork(key);
  }

  boolean holds(UpstreamRecord upstream, int key) {
    return processOf(upstream.id()).holds(key, timers.nowNanos());
  }

  /** Returns the number of releases without a result. */
  int releasesInFlight() {
    return releasesInFlight.size();
  }

  /** Measures that a key keeps some slots busy from now on. */
  void setBusySlots(int key, double slots) {
    busySlots.put(key, slots);
  }

  Duration now() {
    return Duration.ofNanos(timers.nowNanos());
  }

  void run(Duration duration) {
    timers.advance(duration);
  }

  void runUntil(BooleanSupplier condition) {
    long limitNanos = timers.nowNanos() + RUN_LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      checkState(timers.nowNanos() < limitNanos, "condition not met in %s", RUN_LIMIT);
      timers.advance(STEP);
    }
  }

  boolean isAnyUnreachable() {
    return !coordinator.unreachable().isEmpty();
  }

  RangeMap storedMap() {
    return storedMap;
  }

  /** Returns whether an upstream holds all tracked keys. */
  boolean holdsAll(UpstreamRecord upstream) {
    return processOf(upstream.id()).holdsAll(timers.nowNanos());
  }

  ImmutableList<OwnershipViolation> violations() {
    return check.violations();
  }

  private UpstreamProcess processOf(UpstreamId upstream) {
    return processes.computeIfAbsent(upstream, u -> new UpstreamProcess(u, 1, behavior));
  }

  private void tick() {
    check.checkAllKeys(processes.values(), timers.nowNanos());
    busySlots.forEach((key, slots) -> load.add(key, slots * TICK.toNanos() / NANOS_PER_SECOND));
    for (RangeAction action : coordinator.tick(candidates, timers.nowNanos())) {
      execute(action);
    }
  }

  private void execute(RangeAction action) {
    RangeCoordinator caller = coordinator;
    switch (action) {
      case RangeAction.ReadMap read ->
          after(STORE_DELAY, () -> caller.mapRead(storedMap, storedVersion, timers.nowNanos()));
      case RangeAction.WriteMap write -> after(STORE_DELAY, () -> write(caller, write));
      case RangeAction.Grant grant -> {
        UpstreamId upstream = grant.assignment().holder().upstream();
        call(
            caller,
            grant.callId(),
            grantOutcomes.getOrDefault(upstream, PROMPT),
            arrivedNanos -> arrived(upstream, grant, arrivedNanos));
      }
      case RangeAction.Release release -> {
        UpstreamId upstream = release.from().upstream();
        releasesInFlight.add(release.callId());
        call(
            caller,
            release.callId(),
            releaseOutcomes.getOrDefault(upstream, PROMPT),
            arrivedNanos -> {
              UpstreamProcess process = processOf(upstream);
              return answer -> process.release(release, answer);
            });
        after(RELEASE_TIMEOUT, () -> end(caller, release.callId(), UNANSWERED));
      }
    }
  }

  private void write(RangeCoordinator caller, RangeAction.WriteMap write) {
    if (write.expectedVersion() != storedVersion) {
      caller.storeCallFailed(timers.nowNanos());
      return;
    }
    storedVersion++;
    storedMap = write.map();
    caller.mapWritten(storedVersion, timers.nowNanos());
  }

  private void call(
      RangeCoordinator caller,
      long callId,
      CallOutcome outcome,
      LongFunction<CallApplication> arrival) {
    switch (outcome) {
      case CallOutcome.Answered answered ->
          after(
              answered.arrival(),
              () ->
                  arrival
                      .apply(timers.nowNanos())
                      .apply(
                          result -> after(answered.answer(), () -> end(caller, callId, result))));
      case CallOutcome.NotSent notSent ->
          after(
              notSent.reported(),
              () -> end(caller, callId, new GrantResult.NotSent("not connected")));
      case CallOutcome.AnswerLost lost -> {
        after(lost.arrival(), () -> arrival.apply(timers.nowNanos()).apply(result -> {}));
        after(CallOutcome.LATEST_ARRIVAL, () -> end(caller, callId, UNANSWERED));
      }
      case CallOutcome.AppliedLate late -> {
        after(
            late.arrival(),
            () -> {
              CallApplication application = arrival.apply(timers.nowNanos());
              after(late.waitTime(), () -> application.apply(result -> {}));
            });
        after(CallOutcome.LATEST_ARRIVAL, () -> end(caller, callId, UNANSWERED));
      }
      case CallOutcome.AnsweredByCopy copy ->
          after(copy.answer(), () -> end(caller, callId, new GrantResult.Done(Optional.empty())));
    }
  }

  private void end(RangeCoordinator caller, long callId, GrantResult result) {
    releasesInFlight.remove(callId);
    caller.callEnded(callId, result, timers.nowNanos());
  }

  /** Returns what applies a grant that has arrived. */
  private CallApplication arrived(UpstreamId upstream, RangeAction.Grant grant, long arrivedNanos) {
    UpstreamProcess process = processOf(upstream);
    boolean mayApply = process.admits(grant) || !behavior.checksAtArrival();
    return answer ->
        answer.accept(mayApply ? grant(process, grant, arrivedNanos) : new GrantResult.Outdated());
  }

  private GrantResult grant(UpstreamProcess process, RangeAction.Grant grant, long arrivedNanos) {
    GrantResult result = process.grant(grant, arrivedNanos, true);
    check.grantApplied(process, grant.assignment(), processes.values(), timers.nowNanos());
    return result;
  }

  private void after(Duration delay, Runnable task) {
    var unused = timers.after(delay, task);
  }
}
