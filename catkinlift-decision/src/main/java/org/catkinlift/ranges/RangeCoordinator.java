package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Keeps the keys of one service with exactly one upstream each, while this daemon has the
 * coordinator role.
 *
 * <p>An assignment is written to the store before it takes effect. A new holder gets its first
 * grant only when each earlier holder has confirmed the release under the new fencing token, has
 * ended, or can no longer hold the keys by its own clock. Confined to the control thread.
 */
public final class RangeCoordinator {
  /** How long a grant lasts while the store answers. */
  private static final Duration HOLD = Duration.ofSeconds(5);

  private static final Duration RENEW_INTERVAL = Duration.ofMillis(1_300);
  private static final Duration PLAN_INTERVAL = Duration.ofMillis(500);
  private static final Duration REPLAN_SOON = Duration.ofMillis(50);
  private static final Duration READ_RETRY = Duration.ofMillis(200);

  /** An upstream's clock may run 2 % slow; the rest covers the way of the call. */
  private static final double CLOCK_RATE_MARGIN = 1.03;

  private static final Duration TRAVEL_MARGIN = Duration.ofMillis(400);

  /** Renewals without an answer after which an upstream counts as unreachable. */
  private static final int UNREACHABLE_FAILURES = 4;

  private final Duration longestHold;
  private final KeyLoad load;
  private final Map<Long, Call> calls = new HashMap<>();

  private List<Tenure> tenures = new ArrayList<>();
  private Optional<RangeMap> map = Optional.empty();
  private Optional<RangeMap> writing = Optional.empty();
  private long mapVersion;
  private boolean active;
  private boolean storeCallRunning;
  private boolean mustRead;
  private boolean storeDoubtful;
  private long nextPlanNanos;
  private long nextReadNanos;
  private long lastCall;

  private record Call(Tenure tenure, Optional<Holder> releaseFrom) {}

  /**
   * Creates the coordinator of a service.
   *
   * @param longestHold the longest grant that upstreams accept
   * @param load the work of each key
   */
  public RangeCoordinator(Duration longestHold, KeyLoad load) {
    this.longestHold = longestHold;
    this.load = load;
  }

  /**
   * Returns the map that is in force.
   *
   * @return the map, or empty while this daemon does not have the role
   */
  public Optional<RangeMap> map() {
    return map;
  }

  /** Forgets everything, because the role was lost. */
  public void stop() {
    active = false;
    map = Optional.empty();
    writing = Optional.empty();
    tenures = new ArrayList<>();
    calls.clear();
    storeCallRunning = false;
  }

  /**
   * Takes the role.
   *
   * @param nowNanos the time
   */
  public void start(long nowNanos) {
    stop();
    active = true;
    mustRead = true;
    nextReadNanos = nowNanos;
  }

  /**
   * Tells whether the store answers. While it does not, grants are renewed for the longest time, so
   * that they outlast an outage.
   *
   * @param doubtful true from a failed call to the next successful one
   * @param nowNanos the time
   */
  public void storeDoubtful(boolean doubtful, long nowNanos) {
    if (doubtful && !storeDoubtful) {
      tenures.forEach(t -> t.renewNow(nowNanos));
    }
    storeDoubtful = doubtful;
  }

  /**
   * Takes the map as the store has it.
   *
   * @param read the map
   * @param version its version; 0 if there is none
   * @param nowNanos the time
   */
  public void mapRead(RangeMap read, long version, long nowNanos) {
    storeCallRunning = false;
    if (!active) {
      return;
    }
    mustRead = false;
    writing = Optional.empty();
    mapVersion = version;
    adopt(read, nowNanos);
    nextPlanNanos = nowNanos;
  }

  /**
   * Takes the success of a write.
   *
   * @param version the new version
   * @param nowNanos the time
   */
  public void mapWritten(long version, long nowNanos) {
    storeCallRunning = false;
    if (!active || writing.isEmpty()) {
      return;
    }
    mapVersion = version;
    RangeMap written = writing.get();
    writing = Optional.empty();
    adopt(written, nowNanos);
  }

  /**
   * Takes that a call to the store failed or met another version.
   *
   * @param nowNanos the time
   */
  public void storeCallFailed(long nowNanos) {
    storeCallRunning = false;
    mustRead = true;
    nextReadNanos = nowNanos + READ_RETRY.toNanos();
  }

  private void adopt(RangeMap next, long nowNanos) {
    List<Tenure> earlier = tenures;
    boolean firstMap = map.isEmpty();
    tenures = new ArrayList<>();
    for (RangeAssignment assignment : next.assignments()) {
      tenures.add(firstMap ? takenOver(assignment, nowNanos) : next(assignment, earlier, nowNanos));
    }
    map = Optional.of(next);
  }

  private Tenure takenOver(RangeAssignment assignment, long nowNanos) {
    var tenure = new Tenure(assignment, nowNanos);
    long latest = nowNanos + reach(longestHold).toNanos();
    assignment.previous().forEach(p -> tenure.addLeaving(p, latest, nowNanos));
    // An earlier coordinator may have granted the keys just before it lost the role.
    tenure.grantStarted(latest);
    tenure.grantFailed(nowNanos);
    tenure.renewNow(nowNanos);
    return tenure;
  }

  private static Tenure next(RangeAssignment assignment, List<Tenure> earlier, long nowNanos) {
    for (Tenure tenure : earlier) {
      if (tenure.assignment().equals(assignment)) {
        return tenure;
      }
    }
    var tenure = new Tenure(assignment, nowNanos);
    for (Tenure before : earlier) {
      boolean sameGrant = before.covers(assignment);
      if (sameGrant) {
        tenure.inherit(before);
      }
    }
    for (Holder holder : assignment.previous()) {
      tenure.addLeaving(holder, holdsUntil(holder, assignment.range(), earlier), nowNanos);
    }
    return tenure;
  }

  private static long holdsUntil(Holder holder, KeyRange range, List<Tenure> earlier) {
    return earlier.stream()
        .filter(t -> t.assignment().range().overlaps(range))
        .mapToLong(t -> t.holdsUntil(holder))
        .max()
        .orElse(0);
  }

  private static Duration reach(Duration hold) {
    return Duration.ofNanos((long) (hold.toNanos() * CLOCK_RATE_MARGIN)).plus(TRAVEL_MARGIN);
  }

  /**
   * Decides what is due.
   *
   * @param candidates the upstreams that may hold keys
   * @param known all upstreams that state something about themselves
   * @param nowNanos the time
   * @return the actions, in order
   */
  public ImmutableList<RangeAction> tick(
      ImmutableList<Candidate> candidates, ImmutableList<UpstreamRecord> known, long nowNanos) {
    if (!active) {
      return ImmutableList.of();
    }
    ImmutableList.Builder<RangeAction> actions = ImmutableList.builder();
    storeStep(candidates, known, nowNanos).ifPresent(actions::add);
    for (Tenure tenure : tenures) {
      addCalls(tenure, nowNanos, actions);
    }
    return actions.build();
  }

  private Optional<RangeAction> storeStep(
      ImmutableList<Candidate> candidates, ImmutableList<UpstreamRecord> known, long nowNanos) {
    if (storeCallRunning) {
      return Optional.empty();
    }
    if (mustRead) {
      if (nowNanos < nextReadNanos) {
        return Optional.empty();
      }
      storeCallRunning = true;
      return Optional.of(new RangeAction.ReadMap());
    }
    if (nowNanos < nextPlanNanos || map.isEmpty() || storeDoubtful) {
      return Optional.empty();
    }
    nextPlanNanos = nowNanos + PLAN_INTERVAL.toNanos();
    load.decay(nowNanos);
    RangeMap settled = settle(map.get(), nowNanos);
    Optional<RangeMap> planned =
        RangePlanner.plan(settled, candidates, known, load, this::isMovable);
    if (planned.isEmpty() && settled.equals(map.get())) {
      return Optional.empty();
    }
    writing = Optional.of(planned.orElse(settled));
    storeCallRunning = true;
    return Optional.of(new RangeAction.WriteMap(writing.get(), mapVersion));
  }

  /** Only keys whose holder has its grant are moved, so that no key has two moves at a time. */
  private boolean isMovable(RangeAssignment assignment) {
    return !assignment.isMoving()
        && tenures.stream().anyMatch(t -> t.isGranted() && t.covers(assignment));
  }

  /** Drops the earlier holders of assignments whose new holder has its grant. */
  private RangeMap settle(RangeMap present, long nowNanos) {
    ImmutableList.Builder<RangeAssignment> settled = ImmutableList.builder();
    for (Tenure tenure : tenures) {
      RangeAssignment assignment = tenure.assignment();
      boolean done = assignment.isMoving() && tenure.isGranted() && tenure.isFree(nowNanos);
      settled.add(done ? assignment.settled() : assignment);
    }
    return new RangeMap(present.nextFence(), settled.build());
  }

  private void addCalls(Tenure tenure, long nowNanos, ImmutableList.Builder<RangeAction> actions) {
    tenure
        .leaving()
        .forEach(
            (holder, leaving) -> {
              if (leaving.isDue(nowNanos) && !leaving.hasLetGo(nowNanos)) {
                leaving.callStarted();
                long call = newCall(new Call(tenure, Optional.of(holder)));
                RangeAssignment assignment = tenure.assignment();
                actions.add(
                    new RangeAction.Release(call, holder, assignment.range(), assignment.fence()));
              }
            });
    if (tenure.isGrantDue(nowNanos)) {
      Duration hold = storeDoubtful ? longestHold : HOLD;
      tenure.grantStarted(nowNanos + reach(hold).toNanos());
      long call = newCall(new Call(tenure, Optional.empty()));
      actions.add(new RangeAction.Grant(call, tenure.assignment(), hold, tenure.handover()));
    }
  }

  private long newCall(Call call) {
    lastCall++;
    calls.put(lastCall, call);
    return lastCall;
  }

  /**
   * Takes how a grant or release ended.
   *
   * @param call the call's number
   * @param result how it ended
   * @param nowNanos the time
   */
  public void callEnded(long call, GrantResult result, long nowNanos) {
    Call ended = calls.remove(call);
    if (ended == null) {
      return;
    }
    Tenure tenure = ended.tenure();
    if (ended.releaseFrom().isPresent()) {
      releaseEnded(tenure, ended.releaseFrom().get(), result, nowNanos);
      return;
    }
    switch (result) {
      case GrantResult.Done done -> {
        if (tenure.assignment().isMoving() && !tenure.isGranted()) {
          nextPlanNanos = Math.min(nextPlanNanos, nowNanos + REPLAN_SOON.toNanos());
        }
        tenure.grantDone(nowNanos + RENEW_INTERVAL.toNanos());
      }
      case GrantResult.NotSent notSent -> tenure.grantNotSent(nowNanos);
      case GrantResult.Unanswered unanswered -> tenure.grantFailed(nowNanos);
      case GrantResult.Outdated outdated -> {
        tenure.grantFailed(nowNanos);
        mustRead = true;
        nextReadNanos = nowNanos;
      }
    }
  }

  private static void releaseEnded(Tenure tenure, Holder from, GrantResult result, long nowNanos) {
    switch (result) {
      case GrantResult.Done done -> tenure.released(from, done.handover(), nowNanos);
      case GrantResult.Outdated outdated -> tenure.leaving().get(from).callFailed(nowNanos);
      case GrantResult.NotSent notSent -> tenure.leaving().get(from).callFailed(nowNanos);
      case GrantResult.Unanswered unanswered -> tenure.leaving().get(from).callFailed(nowNanos);
    }
  }

  /** Plans again as soon as possible, because upstreams came, left or changed. */
  public void replanNow() {
    nextPlanNanos = Long.MIN_VALUE;
  }

  /**
   * Returns the upstreams that answer no grants although they state that they live.
   *
   * @return the upstreams
   */
  public ImmutableSet<UpstreamId> unreachable() {
    return tenures.stream()
        .filter(t -> t.failures() >= UNREACHABLE_FAILURES)
        .map(t -> t.assignment().holder().upstream())
        .collect(ImmutableSet.toImmutableSet());
  }
}
