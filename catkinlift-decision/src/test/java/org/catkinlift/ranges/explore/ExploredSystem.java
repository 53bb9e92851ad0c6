package org.catkinlift.ranges.explore;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.catkinlift.ranges.Candidate;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.Holder;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.ranges.RangeCoordinator;
import org.catkinlift.ranges.RangeMap;

/**
 * A coordinator, its successors and two upstreams on virtual time. The store answers at once;
 * everything else happens by steps. The coordinator acts after each step, at the same time.
 */
final class ExploredSystem {
  static final int BUSY_KEY = 16_384;

  /** The keys of requests: one that is cut out of a range, and one of another range. */
  private static final ImmutableList<Integer> KEYS_OF_WORK = ImmutableList.of(BUSY_KEY, 50_000);

  private static final int UPSTREAMS = 2;
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);

  /** Past the first retry of a call and the removal of released holders from the map. */
  private static final Duration UNTIL_RETRY = Duration.ofMillis(250);

  /** Past the next renewal of grants and the end of calls without an answer. */
  private static final Duration UNTIL_RENEWAL = Duration.ofMillis(1_300);

  /**
   * Past the end of a grant that arrived before, by the slowest clock that an upstream may have.
   */
  private static final Duration UNTIL_EXPIRY = Duration.ofMillis(5_200);

  private final KeyLoads loads;
  private final List<ExploredUpstream> upstreams = new ArrayList<>();
  private final Map<Integer, UpstreamCall> calls = new TreeMap<>();
  private final Map<Integer, DelayedGrant> delayedGrants = new TreeMap<>();
  private final OwnershipRules rules;
  private final Timeline timeline;

  private RangeCoordinator coordinator;
  private RangeMap storedMap = RangeMap.EMPTY;
  private long storedVersion;
  private ImmutableList<Candidate> candidates = ImmutableList.of();
  private boolean hasBusyKeys;
  private long nowNanos;
  private int term;
  private int lastCall;

  /** Creates a system in which no key is assigned. */
  ExploredSystem(KeyLoads loads, Timeline timeline) {
    this.loads = loads;
    this.timeline = timeline;
    this.rules = new OwnershipRules();
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(new ExploredUpstream(i));
    }
    startCoordinator();
  }

  /** Creates a copy that is independent of the original and records no timeline. */
  ExploredSystem(ExploredSystem original, KeyLoads loads) {
    this.loads = loads;
    this.timeline = Timeline.disabled();
    this.rules = new OwnershipRules(original.rules);
    original.upstreams.forEach(u -> upstreams.add(new ExploredUpstream(u)));
    calls.putAll(original.calls);
    delayedGrants.putAll(original.delayedGrants);
    coordinator = CoordinatorCopier.copy(original.coordinator, loads.of(original.hasBusyKeys));
    storedMap = original.storedMap;
    storedVersion = original.storedVersion;
    candidates = original.candidates;
    hasBusyKeys = original.hasBusyKeys;
    nowNanos = original.nowNanos;
    term = original.term;
    lastCall = original.lastCall;
  }

  /** Returns the violation of a rule on ownership, or empty without any. */
  Optional<String> violation() {
    return rules.violation();
  }

  HashCode digest() {
    return StateDigest.of(
        nowNanos,
        coordinator,
        upstreams,
        calls.values(),
        delayedGrants.values(),
        candidates,
        rules,
        hasBusyKeys);
  }

  /** Returns the possible steps after which a violation can show: those that apply a grant. */
  ImmutableList<Step> grantingSteps() {
    ImmutableList.Builder<Step> steps = ImmutableList.builder();
    calls.forEach(
        (number, call) -> {
          if (call.isGrant() && call.phase() instanceof UpstreamCall.Phase.Sent) {
            steps.add(new Step.Deliver(number));
          }
        });
    delayedGrants.keySet().forEach(number -> steps.add(new Step.ApplyDelayedGrant(number)));
    return steps.build();
  }

  /** Returns the steps that are possible now. */
  ImmutableList<Step> possibleSteps() {
    ImmutableList.Builder<Step> steps = ImmutableList.builder();
    calls.forEach((number, call) -> addCallSteps(number, call, steps));
    delayedGrants.keySet().forEach(number -> steps.add(new Step.ApplyDelayedGrant(number)));
    addListings(steps);
    addWork(steps);
    for (int i = 0; i < UPSTREAMS; i++) {
      boolean isUp = upstreams.get(i).process().isPresent();
      steps.add(isUp ? new Step.Crash(i) : new Step.Start(i));
    }
    if (!hasBusyKeys && candidates.size() == UPSTREAMS) {
      steps.add(new Step.AddBusyKeys());
    }
    steps.add(
        new Step.Wait(UNTIL_RETRY), new Step.Wait(UNTIL_RENEWAL), new Step.Wait(UNTIL_EXPIRY));
    steps.add(new Step.ReplaceCoordinator());
    return steps.build();
  }

  /** An earlier coordinator ignores the results of its calls, so that only their arrival counts. */
  private void addCallSteps(int number, UpstreamCall call, ImmutableList.Builder<Step> steps) {
    boolean isSent = call.phase() instanceof UpstreamCall.Phase.Sent;
    if (isSent) {
      steps.add(new Step.Deliver(number));
    }
    if (isSent && call.isGrant() && upstreams.get(call.upstream()).process().isPresent()) {
      steps.add(new Step.DelayGrant(number));
    }
    if (call.term() != term) {
      return;
    }
    if (isSent) {
      steps.add(new Step.Complete(number), new Step.FailToConnect(number));
    }
    if (call.phase() instanceof UpstreamCall.Phase.Answered) {
      steps.add(new Step.ReturnAnswer(number));
    }
    steps.add(new Step.BreakConnection(number));
  }

  private void addListings(ImmutableList.Builder<Step> steps) {
    for (var listed :
        ImmutableList.of(ImmutableSet.of(0), ImmutableSet.of(1), ImmutableSet.of(0, 1))) {
      if (!candidatesOf(listed).equals(candidates)) {
        steps.add(new Step.ListUpstreams(listed));
      }
    }
  }

  private void addWork(ImmutableList.Builder<Step> steps) {
    if (running().stream().anyMatch(p -> p.keyOfWork().isPresent())) {
      steps.add(new Step.EndWork());
      return;
    }
    for (int i = 0; i < UPSTREAMS; i++) {
      Set<Long> fences = new HashSet<>();
      for (int key : KEYS_OF_WORK) {
        Optional<ExploredProcess> process = upstreams.get(i).process();
        boolean isHeld = process.filter(p -> p.holds(key, nowNanos)).isPresent();
        if (isHeld && fences.add(process.get().holdOf(key).heldFence())) {
          steps.add(new Step.BeginWork(i, key));
        }
      }
    }
  }

  private ImmutableList<ExploredProcess> running() {
    return upstreams.stream()
        .flatMap(u -> u.process().stream())
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<Candidate> candidatesOf(ImmutableSet<Integer> listed) {
    return listed.stream()
        .map(i -> upstreams.get(i).candidate())
        .collect(ImmutableList.toImmutableList());
  }

  /** Takes a step that is possible, and lets the coordinator act. */
  void take(Step step) {
    timeline.add(nowNanos, step);
    switch (step) {
      case Step.ListUpstreams s -> {
        candidates = candidatesOf(s.upstreams());
        coordinator.replanNow();
      }
      case Step.AddBusyKeys s -> addBusyKeys();
      case Step.Wait s -> pass(s.time());
      case Step.ReplaceCoordinator s -> startCoordinator();
      case Step.Crash s -> crash(s.upstream());
      case Step.Start s -> upstreams.get(s.upstream()).start();
      case Step.BeginWork s ->
          upstreams.get(s.upstream()).process().orElseThrow().beginWork(s.key());
      case Step.EndWork s -> {
        running().forEach(ExploredProcess::endWork);
        answerReleases();
      }
      case Step.Deliver s -> deliver(s.call());
      case Step.ReturnAnswer s -> returnAnswer(s.call());
      case Step.Complete s -> {
        deliver(s.call());
        returnAnswer(s.call());
      }
      case Step.BreakConnection s -> end(s.call(), new GrantResult.Unanswered("connection lost"));
      case Step.FailToConnect s -> end(s.call(), new GrantResult.NotSent("not connected"));
      case Step.DelayGrant s -> delay(s.call());
      case Step.ApplyDelayedGrant s -> applyDelayed(delayedGrants.remove(s.call()));
    }
    letCoordinatorAct();
    rules.checkHolders(running(), nowNanos);
    violation().ifPresent(v -> timeline.add(nowNanos, v));
  }

  private void addBusyKeys() {
    hasBusyKeys = true;
    coordinator = CoordinatorCopier.copy(coordinator, loads.of(hasBusyKeys));
    coordinator.replanNow();
  }

  private void pass(Duration time) {
    long endNanos = nowNanos + time.toNanos();
    // Calls are sent in the order of their deadlines, since all have the same timeout.
    for (int number : ImmutableList.copyOf(calls.keySet())) {
      long deadlineNanos = calls.get(number).deadlineNanos();
      if (deadlineNanos <= endNanos) {
        nowNanos = deadlineNanos;
        end(number, new GrantResult.Unanswered("timeout"));
      }
    }
    nowNanos = endNanos;
    running().forEach(p -> p.endExpiredWork(nowNanos));
    answerReleases();
    delayedGrants.values().removeIf(d -> d.expiryNanos() <= nowNanos);
  }

  /** The role's rules keep the earlier coordinator from sending; what it sent may still arrive. */
  private void startCoordinator() {
    term++;
    calls.values().removeIf(c -> !(c.phase() instanceof UpstreamCall.Phase.Sent));
    coordinator = new RangeCoordinator(MAX_GRANT_DURATION, loads.of(hasBusyKeys));
    coordinator.start(nowNanos);
  }

  private void crash(int upstream) {
    upstreams.get(upstream).crash();
    delayedGrants.values().removeIf(d -> d.upstream() == upstream);
    for (int number : ImmutableList.copyOf(calls.keySet())) {
      UpstreamCall call = calls.get(number);
      if (call.upstream() == upstream && !(call.phase() instanceof UpstreamCall.Phase.Sent)) {
        end(number, new GrantResult.Unanswered("connection lost"));
      }
    }
  }

  private void answerReleases() {
    calls.replaceAll(
        (number, call) ->
            call.phase() instanceof UpstreamCall.Phase.AwaitingWork
                ? call.withPhase(phaseOfRelease(call))
                : call);
  }

  private UpstreamCall.Phase phaseOfRelease(UpstreamCall call) {
    ExploredProcess process = upstreams.get(call.upstream()).process().orElseThrow();
    return process.isAtWorkIn(call.range())
        ? new UpstreamCall.Phase.AwaitingWork()
        : new UpstreamCall.Phase.Answered(new GrantResult.Done(Optional.of("handover")));
  }

  private void deliver(int number) {
    UpstreamCall call = calls.get(number);
    Optional<ExploredProcess> process = upstreams.get(call.upstream()).process();
    if (process.isEmpty()) {
      end(number, new GrantResult.NotSent("connection refused"));
      return;
    }
    UpstreamCall.Phase next = phaseAfterArrival(call, process.get());
    if (call.term() == term) {
      calls.put(number, call.withPhase(next));
    } else {
      calls.remove(number);
    }
  }

  private UpstreamCall.Phase phaseAfterArrival(UpstreamCall call, ExploredProcess process) {
    if (call.action() instanceof RangeAction.Grant grant) {
      long expiryNanos = ExploredProcess.expiryNanos(grant, nowNanos);
      boolean applied = apply(process, grant, expiryNanos, true);
      return new UpstreamCall.Phase.Answered(
          applied ? new GrantResult.Done(Optional.empty()) : new GrantResult.Outdated());
    }
    process.release((RangeAction.Release) call.action());
    return phaseOfRelease(call);
  }

  private boolean apply(
      ExploredProcess process, RangeAction.Grant grant, long expiryNanos, boolean isCounted) {
    boolean applied = process.grant(grant, expiryNanos);
    if (applied) {
      rules.grantApplied(process, grant, running(), isCounted, nowNanos);
    }
    return applied;
  }

  private void returnAnswer(int number) {
    UpstreamCall call = calls.get(number);
    if (call != null && call.phase() instanceof UpstreamCall.Phase.Answered answered) {
      end(number, answered.result());
    }
  }

  private void delay(int number) {
    UpstreamCall call = calls.get(number);
    var grant = (RangeAction.Grant) call.action();
    long expiryNanos = ExploredProcess.expiryNanos(grant, nowNanos);
    delayedGrants.put(number, new DelayedGrant(call.upstream(), grant, expiryNanos));
    end(number, new GrantResult.Unanswered("connection lost"));
  }

  private void applyDelayed(DelayedGrant delayed) {
    ExploredProcess process = upstreams.get(delayed.upstream()).process().orElseThrow();
    var unused = apply(process, delayed.grant(), delayed.expiryNanos(), false);
  }

  /** Ends a call, unless it has ended; an earlier coordinator does not learn the result. */
  private void end(int number, GrantResult result) {
    UpstreamCall call = calls.remove(number);
    if (call != null && call.term() == term) {
      coordinator.callEnded(call.callId(), result, nowNanos);
    }
  }

  private void letCoordinatorAct() {
    boolean usedStore = true;
    while (usedStore) {
      usedStore = false;
      for (RangeAction action : coordinator.tick(candidates, nowNanos)) {
        usedStore |= execute(action);
      }
    }
  }

  /** Executes an action and returns whether it used the store. */
  private boolean execute(RangeAction action) {
    return switch (action) {
      case RangeAction.ReadMap read -> {
        coordinator.mapRead(storedMap, storedVersion, nowNanos);
        yield true;
      }
      case RangeAction.WriteMap write -> {
        storedVersion++;
        storedMap = write.map();
        coordinator.mapWritten(storedVersion, nowNanos);
        yield true;
      }
      case RangeAction.Grant grant -> {
        send(grant.assignment().holder(), grant);
        yield false;
      }
      case RangeAction.Release release -> {
        send(release.from(), release);
        yield false;
      }
    };
  }

  private void send(Holder to, RangeAction action) {
    int number = ++lastCall;
    long deadlineNanos = nowNanos + RangeAction.MAX_DELIVERY_DELAY.toNanos();
    timeline.add(nowNanos, number, to, action);
    calls.put(
        number,
        new UpstreamCall(
            term, upstreamOf(to), action, deadlineNanos, new UpstreamCall.Phase.Sent()));
  }

  private int upstreamOf(Holder holder) {
    for (int i = 0; i < UPSTREAMS; i++) {
      if (upstreams.get(i).candidate().upstream().id().equals(holder.upstream())) {
        return i;
      }
    }
    throw new IllegalStateException("unknown upstream: " + holder);
  }
}
