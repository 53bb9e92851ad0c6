package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.catkinlift.model.UpstreamId;

/**
 * Assigns each key of one service to exactly one upstream while this daemon holds the coordinator
 * role.
 *
 * <p>An assignment is written to the store before it takes effect. A new holder gets its first
 * grant only when each previous holder has confirmed the release under the new fencing token, has
 * ended, or can no longer hold the keys by its own clock. Confined to the control thread.
 */
public final class RangeCoordinator {
  private static final Duration READ_RETRY_DELAY = Duration.ofMillis(200);

  /** An upstream's clock may run 2 % slow; the rest covers the rate of the local clock. */
  private static final double CLOCK_RATE_MARGIN = 1.03;

  /** Consecutive grants without an answer after which an upstream counts as unreachable. */
  private static final int UNREACHABLE_FAILURES = 4;

  private final Duration maxGrantDuration;
  private final RenewalPolicy renewals;
  private final KeyLoad load;
  private final PossibleHolds holds = new PossibleHolds();
  private final FormerHolders formerHolders = new FormerHolders();
  private final Map<Long, Call> calls = new HashMap<>();
  private final CallAdmission admission = new CallAdmission();
  private final PlanSchedule schedule = new PlanSchedule();

  private AssignmentStates assignmentStates = AssignmentStates.none();
  private Optional<RangeMap> map = Optional.empty();
  private Optional<RangeMap> mapBeingWritten = Optional.empty();
  private Optional<RangeMap> firstMapOfEra = Optional.empty();
  private long firstMapNanos;
  private long mapVersion;
  private boolean active;
  private boolean storeCallInFlight;
  private boolean mustRead;
  private boolean storeFailing;
  private long nextReadNanos;
  private long lastCallId;
  private int hostCount = 1;

  /** A grant or release that was sent and has no result yet. */
  private sealed interface Call {
    record GrantCall(AssignmentState state, Duration duration, long startNanos) implements Call {}

    record ReleaseCall(AssignmentState state, Holder from) implements Call {}

    default CallKind kind() {
      return switch (this) {
        case GrantCall grant -> CallKind.GRANT;
        case ReleaseCall release -> CallKind.RELEASE;
      };
    }
  }

  /**
   * Creates the coordinator of a service.
   *
   * @param maxGrantDuration the longest grant that upstreams accept
   * @param load the load of each key
   */
  public RangeCoordinator(Duration maxGrantDuration, KeyLoad load) {
    this.maxGrantDuration = maxGrantDuration;
    this.renewals = new RenewalPolicy(maxGrantDuration);
    this.load = load;
  }

  /** Returns the map in force, or empty while this daemon does not hold the role. */
  public Optional<RangeMap> map() {
    return map;
  }

  /** Returns how far the assignments of the map in force are carried out. */
  public GrantProgress progress() {
    int granted = (int) assignmentStates.stream().filter(AssignmentState::isGranted).count();
    return new GrantProgress(assignmentStates.size(), granted, calls.size());
  }

  /** Discards all state, because the role was lost. */
  public void stop() {
    active = false;
    map = Optional.empty();
    mapBeingWritten = Optional.empty();
    firstMapOfEra = Optional.empty();
    assignmentStates = AssignmentStates.none();
    holds.clear();
    formerHolders.clear();
    calls.clear();
    admission.clear();
    storeCallInFlight = false;
  }

  /**
   * Starts coordinating, because the role was acquired.
   *
   * @param nowNanos the current time
   */
  public void start(long nowNanos) {
    stop();
    active = true;
    mustRead = true;
    nextReadNanos = nowNanos;
  }

  /** Sets the number of hosts that each version of the map is sent to. */
  public void setHostCount(int count) {
    hostCount = count;
  }

  /**
   * Sets whether the store is failing. While it is, grants are renewed for the longest duration, so
   * that they outlast an outage.
   *
   * @param failing true from a failed call until the next successful one
   * @param nowNanos the current time
   */
  public void setStoreFailing(boolean failing, long nowNanos) {
    if (failing && !storeFailing) {
      assignmentStates.stream().forEach(s -> s.renewNow(nowNanos));
    }
    storeFailing = failing;
  }

  /**
   * Records the map as read from the store.
   *
   * @param read the map
   * @param version its version; 0 if there is none
   * @param nowNanos the current time
   */
  public void mapRead(RangeMap read, long version, long nowNanos) {
    storeCallInFlight = false;
    if (!active) {
      return;
    }
    mustRead = false;
    mapBeingWritten = Optional.empty();
    firstMapOfEra = Optional.empty();
    mapVersion = version;
    applyMap(read, nowNanos);
    schedule.mapRead(nowNanos);
  }

  /**
   * Continues in a later era of the store, which has lost writes, because no other daemon can have
   * held the role in between. The map in force, the possible holds and the calls in progress are
   * complete: nothing took effect unwritten, and no call was based on a write without a result.
   * Results of store calls of the earlier era must not be reported any more.
   *
   * @param era the later era
   * @param nowNanos the current time
   */
  public void continueIn(long era, long nowNanos) {
    storeCallInFlight = false;
    mapBeingWritten = Optional.empty();
    mapVersion = 0;
    firstMapOfEra = map.map(m -> m.continuedIn(era));
    firstMapNanos = nowNanos;
    mustRead = firstMapOfEra.isEmpty();
    nextReadNanos = nowNanos;
  }

  /**
   * Records that the store has no map of its present era. Unless this coordinator knows the map in
   * force, keys may have moved after any map that is known, so nothing is granted and no map is
   * written until all grants of earlier eras have expired.
   *
   * @param newestKnown the newest known map of an earlier era
   * @param era the present era
   * @param eraSeenNanos when this daemon first saw the present era
   * @param nowNanos the current time
   */
  public void mapMissing(RangeMap newestKnown, long era, long eraSeenNanos, long nowNanos) {
    storeCallInFlight = false;
    if (!active) {
      return;
    }
    mustRead = false;
    mapBeingWritten = Optional.empty();
    mapVersion = 0;
    firstMapOfEra = Optional.of(map.orElse(newestKnown.reassignedIn(era)).continuedIn(era));
    firstMapNanos = map.isPresent() ? nowNanos : earlierGrantsEndNanos(eraSeenNanos);
  }

  /** A coordinator that has not seen a new era sends its last call at the end of its term. */
  private long earlierGrantsEndNanos(long eraSeenNanos) {
    long lastArrivalNanos =
        eraSeenNanos + CoordinatorLease.TERM.toNanos() + RangeAction.MAX_DELIVERY_DELAY.toNanos();
    return latestExpiryNanos(maxGrantDuration, lastArrivalNanos);
  }

  /**
   * Records a successful write of the map.
   *
   * @param version the new version
   * @param nowNanos the current time
   */
  public void mapWritten(long version, long nowNanos) {
    storeCallInFlight = false;
    if (!active || mapBeingWritten.isEmpty()) {
      return;
    }
    mapVersion = version;
    RangeMap written = mapBeingWritten.get();
    mapBeingWritten = Optional.empty();
    firstMapOfEra = Optional.empty();
    applyMap(written, nowNanos);
  }

  /**
   * Records that a store call failed or met a different version; the map is read again.
   *
   * @param nowNanos the current time
   */
  public void storeCallFailed(long nowNanos) {
    storeCallInFlight = false;
    mustRead = true;
    nextReadNanos = nowNanos + READ_RETRY_DELAY.toNanos();
  }

  private void applyMap(RangeMap next, long nowNanos) {
    AssignmentStates previousStates = assignmentStates;
    boolean firstMap = map.isEmpty();
    List<AssignmentState> states = new ArrayList<>();
    for (RangeAssignment assignment : next.assignments()) {
      states.add(
          firstMap
              ? stateAfterTakeover(assignment, nowNanos)
              : stateAfterChange(assignment, previousStates, nowNanos));
    }
    assignmentStates = AssignmentStates.of(states);
    map = Optional.of(next);
  }

  /** An earlier coordinator may have sent the longest grants just before it lost the role. */
  private AssignmentState stateAfterTakeover(RangeAssignment assignment, long nowNanos) {
    long arrivalNanos = nowNanos + RangeAction.MAX_DELIVERY_DELAY.toNanos();
    long expiryNanos = latestExpiryNanos(maxGrantDuration, arrivalNanos);
    Stream.concat(Stream.of(assignment.holder()), assignment.previousHolders().stream())
        .forEach(
            h ->
                holds.grantedByEarlierCoordinator(
                    h.destination(), assignment.range(), expiryNanos));
    return new AssignmentState(assignment, nowNanos);
  }

  private AssignmentState stateAfterChange(
      RangeAssignment assignment, AssignmentStates previousStates, long nowNanos) {
    Optional<AssignmentState> previous = previousStates.covering(assignment);
    if (previous.filter(p -> p.assignment().equals(assignment)).isPresent()) {
      return previous.get();
    }
    var state = new AssignmentState(assignment, nowNanos);
    previous.ifPresent(state::inheritGrant);
    return state;
  }

  /** Returns when a grant that arrived at the latest at a given time has expired. */
  private static long latestExpiryNanos(Duration grantDuration, long arrivalNanos) {
    return arrivalNanos + (long) (grantDuration.toNanos() * CLOCK_RATE_MARGIN);
  }

  /**
   * Returns the actions that are due.
   *
   * @param candidates the upstreams that may hold keys
   * @param nowNanos the current time
   * @return the actions, in the order of execution
   */
  public ImmutableList<RangeAction> tick(ImmutableList<Candidate> candidates, long nowNanos) {
    return tick(() -> candidates, nowNanos);
  }

  /**
   * Returns the actions that are due.
   *
   * @param candidates returns the upstreams that may hold keys; called only if a plan is due
   * @param nowNanos the current time
   * @return the actions, in the order of execution
   */
  public ImmutableList<RangeAction> tick(
      Supplier<ImmutableList<Candidate>> candidates, long nowNanos) {
    if (!active) {
      return ImmutableList.of();
    }
    ImmutableList.Builder<RangeAction> actions = ImmutableList.builder();
    nextStoreAction(candidates, nowNanos).ifPresent(actions::add);
    admission.roundStarted(nowNanos);
    for (DueCall call : dueCalls(nowNanos)) {
      if (admission.isAdmitted(call.destination(), call.kind(), nowNanos)) {
        actions.add(start(call, nowNanos));
      }
    }
    return actions.build();
  }

  /**
   * Returns whether due calls wait for the end of others; the next tick should then follow soon.
   */
  public boolean isBacklogged() {
    return admission.isBacklogged();
  }

  private Optional<RangeAction> nextStoreAction(
      Supplier<ImmutableList<Candidate>> candidates, long nowNanos) {
    if (storeCallInFlight) {
      return Optional.empty();
    }
    if (mustRead) {
      if (nowNanos < nextReadNanos) {
        return Optional.empty();
      }
      storeCallInFlight = true;
      return Optional.of(new RangeAction.ReadMap());
    }
    if (firstMapOfEra.isPresent()) {
      return nowNanos < firstMapNanos || storeFailing
          ? Optional.empty()
          : Optional.of(startWrite(RangePlan.withoutReassignments(firstMapOfEra.get())));
    }
    if (!schedule.isDue(nowNanos) || map.isEmpty() || storeFailing) {
      return Optional.empty();
    }
    schedule.planned(assignmentStates.size(), hostCount, nowNanos);
    load.decay(nowNanos);
    holds.removeExpired(nowNanos);
    formerHolders.removeExpired(nowNanos);
    RangeMap current = dropReleasedHolders(map.get(), nowNanos);
    Optional<RangePlan> planned =
        RangePlanner.plan(
            current,
            candidates.get(),
            load,
            this::isMovable,
            (keys, holder) -> !formerHolders.includes(holder, keys));
    if (planned.isEmpty() && current.equals(map.get())) {
      return Optional.empty();
    }
    return Optional.of(startWrite(planned.orElse(RangePlan.withoutReassignments(current))));
  }

  private RangeAction startWrite(RangePlan next) {
    mapBeingWritten = Optional.of(next.map());
    storeCallInFlight = true;
    return new RangeAction.WriteMap(next.map(), mapVersion, next.reasons());
  }

  /** Only keys with a granted holder may move, so that no key takes part in two moves at a time. */
  private boolean isMovable(RangeAssignment assignment) {
    return !assignment.isMoving()
        && assignmentStates.covering(assignment).filter(AssignmentState::isGranted).isPresent();
  }

  /** Removes previous holders from assignments whose new holder has its grant. */
  private RangeMap dropReleasedHolders(RangeMap present, long nowNanos) {
    ImmutableList.Builder<RangeAssignment> next = ImmutableList.builder();
    assignmentStates.stream()
        .map(
            s ->
                isHandedOver(s, nowNanos)
                    ? s.assignment().withoutPreviousHolders()
                    : s.assignment())
        .forEach(next::add);
    return new RangeMap(present.nextFence(), next.build());
  }

  private boolean isHandedOver(AssignmentState state, long nowNanos) {
    RangeAssignment assignment = state.assignment();
    return assignment.isMoving() && state.isGranted() && !isHeldByOthers(assignment, nowNanos);
  }

  /** The list of previous holders is complete, since the planner drops none of them. */
  private boolean isHeldByOthers(RangeAssignment assignment, long nowNanos) {
    return assignment.previousHolders().stream()
        .anyMatch(h -> holds.mayHold(h.destination(), assignment.range(), nowNanos));
  }

  /** Returns the calls that are due, the most urgent one first. */
  private List<DueCall> dueCalls(long nowNanos) {
    List<DueCall> due = new ArrayList<>();
    assignmentStates.stream().forEach(s -> addDueCalls(s, nowNanos, due));
    due.sort(Comparator.comparingLong(DueCall::deadlineNanos));
    return due;
  }

  private void addDueCalls(AssignmentState state, long nowNanos, List<DueCall> due) {
    KeyRange range = state.assignment().range();
    state
        .pendingReleases()
        .forEach(
            (holder, release) -> {
              if (!release.isCallDue(nowNanos)) {
                return;
              }
              holds.expiryNanos(holder.destination(), range).ifPresent(release::holdKnown);
              if (mustRelease(holder, range, nowNanos)) {
                due.add(new DueCall.DueRelease(state, holder));
              }
            });
    if (state.isGrantDue(nowNanos) && mayGrant(state, nowNanos)) {
      due.add(new DueCall.DueGrant(state));
    }
  }

  private RangeAction start(DueCall call, long nowNanos) {
    return switch (call) {
      case DueCall.DueGrant grant -> startGrant(grant.state(), nowNanos);
      case DueCall.DueRelease release -> startRelease(release.state(), release.from(), nowNanos);
    };
  }

  /** A renewal need not wait: nobody else gets the keys while the assignment is in force. */
  private boolean mayGrant(AssignmentState state, long nowNanos) {
    return state.isGranted() || !isHeldByOthers(state.assignment(), nowNanos);
  }

  /**
   * Returns whether a release is needed and possible. A release waits for the end of grant calls to
   * the same destination: an upstream that restarts forgets the release's fencing token and accepts
   * a grant that arrives after it.
   */
  private boolean mustRelease(Holder holder, KeyRange range, long nowNanos) {
    return holds.mayHold(holder.destination(), range, nowNanos)
        && !holds.isGrantInFlight(holder.destination(), range);
  }

  private RangeAction startRelease(AssignmentState state, Holder from, long nowNanos) {
    RangeAssignment assignment = state.assignment();
    state.pendingReleases().get(from).callStarted();
    long callId = registerCall(new Call.ReleaseCall(state, from));
    admission.started(callId, from.destination(), CallKind.RELEASE, nowNanos);
    return new RangeAction.Release(callId, from, assignment.range(), assignment.fence());
  }

  private RangeAction startGrant(AssignmentState state, long nowNanos) {
    RangeAssignment assignment = state.assignment();
    Duration duration =
        storeFailing ? maxGrantDuration : renewals.duration(assignmentStates.size());
    if (!state.isGranted()) {
      // A first grant is sent only when no previous holder can hold the keys any more.
      assignment
          .previousHolders()
          .forEach(h -> formerHolders.holdEnded(h, assignment.range(), nowNanos));
    }
    state.grantStarted();
    long callId = registerCall(new Call.GrantCall(state, duration, nowNanos));
    admission.started(callId, assignment.holder().destination(), CallKind.GRANT, nowNanos);
    holds.grantStarted(callId, assignment.holder().destination(), assignment.range());
    return new RangeAction.Grant(
        callId, assignment, duration, state.handover(), state.grantReason(nowNanos));
  }

  private long registerCall(Call call) {
    lastCallId++;
    calls.put(lastCallId, call);
    return lastCallId;
  }

  /**
   * Records the result of a grant or release.
   *
   * @param callId the identifier of the call
   * @param result the result
   * @param nowNanos the current time
   */
  public void callEnded(long callId, GrantResult result, long nowNanos) {
    Call call = calls.remove(callId);
    if (call == null) {
      return;
    }
    admission.ended(callId, call.kind(), result.isAnswered(), nowNanos);
    switch (call) {
      case Call.GrantCall grant -> grantEnded(callId, grant, result, nowNanos);
      case Call.ReleaseCall release -> releaseEnded(callId, release, result, nowNanos);
    }
  }

  private void grantEnded(long callId, Call.GrantCall call, GrantResult result, long nowNanos) {
    AssignmentState state = call.state();
    GrantDestination destination = state.assignment().holder().destination();
    if (result instanceof GrantResult.NotSent || result instanceof GrantResult.HolderEnded) {
      holds.grantNotSent(callId, destination);
    } else {
      holds.grantCallEnded(callId, destination, latestExpiryNanos(call.duration(), nowNanos));
    }
    switch (result) {
      case GrantResult.Done done -> {
        if (state.assignment().isMoving() && !state.isGranted()) {
          schedule.moveEnded(nowNanos);
        }
        Duration renewAfter = renewals.interval(assignmentStates.size());
        state.grantDone(
            call.startNanos() + call.duration().toNanos(), nowNanos + renewAfter.toNanos());
      }
      case GrantResult.HolderEnded ended -> state.grantFailed(nowNanos);
      case GrantResult.NotSent notSent -> state.grantFailed(nowNanos);
      case GrantResult.Unanswered unanswered -> state.grantFailed(nowNanos);
      case GrantResult.Outdated outdated -> {
        state.grantFailed(nowNanos);
        mustRead = true;
        nextReadNanos = nowNanos;
      }
    }
  }

  private void releaseEnded(long callId, Call.ReleaseCall call, GrantResult result, long nowNanos) {
    AssignmentState state = call.state();
    switch (result) {
      case GrantResult.Done done when done.handover().isPresent() ->
          holdEnded(callId, call, done.handover(), nowNanos);
      case GrantResult.Done notTheAnswerToARelease -> state.releaseFailed(call.from(), nowNanos);
      case GrantResult.HolderEnded ended -> holdEnded(callId, call, Optional.empty(), nowNanos);
      case GrantResult.Outdated outdated -> state.releaseFailed(call.from(), nowNanos);
      case GrantResult.NotSent notSent -> state.releaseFailed(call.from(), nowNanos);
      case GrantResult.Unanswered unanswered -> state.releaseFailed(call.from(), nowNanos);
    }
  }

  private void holdEnded(
      long callId, Call.ReleaseCall call, Optional<String> handover, long nowNanos) {
    holds.released(callId, call.from().destination(), call.state().assignment().range());
    call.state().releaseDone(call.from(), handover, nowNanos);
  }

  /** Plans again as soon as possible, because upstreams joined, left or changed. */
  public void replanNow() {
    schedule.upstreamsChanged();
  }

  /** Returns the upstreams that answer no grants although their records are current. */
  public ImmutableSet<UpstreamId> unreachable() {
    return admission
        .destinationsWithFailedGrants(UNREACHABLE_FAILURES)
        .map(GrantDestination::upstream)
        .collect(ImmutableSet.toImmutableSet());
  }
}
