package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.DispatchLeaseSnapshot;
import org.catkinlift.control.PeerMessage.Heartbeat;
import org.catkinlift.control.PeerMessage.HeartbeatAck;
import org.catkinlift.control.PeerMessage.Leaving;
import org.catkinlift.control.PeerMessage.Promise;
import org.catkinlift.control.PeerMessage.PromiseRequest;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostId;

/** Implements the roles of one run of a daemon in its cell: voter, dispatcher and coordinator. */
final class CellParticipant {
  private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(500);
  private static final Duration VOTER_LOST_AFTER = Duration.ofSeconds(2);
  private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(10);

  private final CellContext context;
  private final PromiseRegistry promises;
  private final RoleManager role;
  private final RoleAcquisitionRule acquisitionRule;
  private final LocalTakeoverRole takeoverRole;
  private final RemoteCellTakeovers remoteTakeovers;
  private final LeaseBounds bounds;
  private final HeldLeases held = new HeldLeases();
  private final ChangeAnnouncer announcer;
  private final RowReadSchedule rowReads = new RowReadSchedule();
  private final CellMembers members;
  private final HeartbeatResponder responder;
  private Optional<Coordinator> coordinator = Optional.empty();
  private Optional<HostId> lastHeardCoordinator = Optional.empty();
  private long lastRoundAt = Long.MIN_VALUE / 4;
  private final long startedAt;
  private long lastTickAt;
  private long resumedAt;
  private long roleAcquiredAt;
  private boolean coordinatorKnowsThisRun;
  private boolean stopping;
  private boolean stopped;
  private long stoppingSince = Long.MAX_VALUE;

  CellParticipant(CellContext context, long nowNanos) {
    this.context = context;
    this.members = new CellMembers(context);
    this.promises = new PromiseRegistry(context.timings(), nowNanos);
    var authority =
        new RoleAuthority(
            "cell/" + context.cell(), context.host(), context.timings(), context.ids(), promises);
    this.role = new RoleManager(context.host(), context.timings(), authority, context.ids());
    this.acquisitionRule = new RoleAcquisitionRule(context.host(), context.timings(), promises);
    this.takeoverRole = new LocalTakeoverRole(context, promises);
    this.remoteTakeovers = new RemoteCellTakeovers(context, promises);
    this.bounds = new LeaseBounds(context, authority, takeoverRole.authority());
    this.responder = new HeartbeatResponder(context);
    this.announcer = new ChangeAnnouncer(context);
    this.startedAt = nowNanos;
    this.lastTickAt = nowNanos;
    this.resumedAt = nowNanos;
  }

  Optional<HostId> coordinatorHost() {
    return authority().isHolder() ? Optional.of(context.host()) : lastHeardCoordinator;
  }

  boolean hasAuthority(long nowNanos) {
    return authority().hasAuthority(nowNanos);
  }

  ImmutableList<DispatchLease> heldLeases(long nowNanos) {
    return held.currentLeases(nowNanos);
  }

  DispatchLeaseSnapshot dispatchLeases(long nowNanos) {
    return new DispatchLeaseSnapshot(held.currentLeases(nowNanos), held.revoked(), nowNanos);
  }

  private RoleAuthority authority() {
    return role.authority();
  }

  void tick(long nowNanos, Outbox out) {
    if (nowNanos - lastTickAt > PAUSE_THRESHOLD.toNanos()) {
      resumedAt = nowNanos;
    }
    lastTickAt = nowNanos;
    role.tick(nowNanos, out);
    readRow(nowNanos, out);
    tryAcquireRole(nowNanos, out);
    boolean isDue = nowNanos - lastRoundAt >= context.timings().heartbeat().toNanos();
    if (isDue || coordinator.filter(Coordinator::isHandoverReady).isPresent()) {
      lastRoundAt = nowNanos;
      coordinator.ifPresent(c -> runRound(c, nowNanos, out));
    }
  }

  private void readRow(long nowNanos, Outbox out) {
    boolean promiseExpiring =
        !authority().isHolder() && promises.expiresSoon(authority().rowName(), nowNanos);
    boolean urgent = authority().row().isEmpty() || authority().isOutdated() || promiseExpiring;
    boolean platformUnreachable = !context.platform().isReachable();
    if (!role.isBusy()
        && rowReads.isDue(urgent || platformUnreachable, authority().isHolder(), nowNanos)) {
      role.read(out);
    }
  }

  private void tryAcquireRole(long nowNanos, Outbox out) {
    boolean ineligible = stopping || members.isRetiring(context.host()) || role.isBusy();
    if (ineligible
        || !authority().isObserved()
        || !acquisitionRule.mayAcquire(authority(), longestPromise(), nowNanos)) {
      return;
    }
    role.acquire(authority().voters(), nowNanos, out);
  }

  /**
   * Returns the longest promise that any service may have required; zero if none requires long
   * promises.
   */
  private Duration longestPromise() {
    if (context.store().configuration().version() == 0) {
      return CutOffRule.DEFAULT_LONG_PROMISE; // the services' rules are not known yet
    }
    return context.store().configuration().services().values().stream()
        .flatMap(s -> ServiceRules.hold(s).stream())
        .map(CutOffRule.Hold::longPromise)
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }

  private void runRound(Coordinator current, long nowNanos, Outbox out) {
    ImmutableSet<HostId> eligible = members.eligible(nowNanos);
    role.requestPromises(eligible, promiseDuration(current, nowNanos), nowNanos, out);
    if (context.platform().isReachable()) {
      role.maintain(desiredVoters(eligible, nowNanos), nowNanos, out);
    }
    boolean active = authority().hasAuthority(nowNanos) && hasLapseService();
    takeoverRole.setActive(active);
    if (active) {
      takeoverRole.runRound(nowNanos, out);
      remoteTakeovers.runRound(nowNanos, out);
    }
    ImmutableSet<HostId> dispatchers = dispatchers(current, eligible, nowNanos);
    ImmutableList<DispatchLease> own = current.runRound(members.all(), dispatchers, nowNanos, out);
    held.acceptOwn(current.term(), own, nowNanos);
  }

  /**
   * Returns the duration of the promises to request, which is long during a platform outage and
   * while long grants of an outage are still valid.
   */
  private Duration promiseDuration(Coordinator current, long nowNanos) {
    Duration promise = context.timings().promise();
    if (context.platform().isOutage(nowNanos)) {
      Duration longest = longestPromise();
      return longest.compareTo(promise) > 0 ? longest : promise;
    }
    Duration remaining = Duration.ofNanos(Math.max(0, current.latestGrantEnd() - nowNanos));
    boolean longGrants = remaining.compareTo(promise.plus(context.timings().heartbeat())) > 0;
    return longGrants ? remaining : promise;
  }

  private boolean hasLapseService() {
    return context.store().configuration().services().values().stream()
        .anyMatch(ServiceRules::isLapse);
  }

  private ImmutableSet<HostId> desiredVoters(ImmutableSet<HostId> eligible, long nowNanos) {
    ImmutableSet<HostId> answering =
        authority().otherVoters().stream()
            .filter(v -> !members.isLeaving(v))
            .filter(
                v ->
                    isAwaitingFirstAnswers(nowNanos)
                        || authority().hasAnswered(v, VOTER_LOST_AFTER, nowNanos))
            .collect(toImmutableSet());
    return Sets.union(answering, eligible).immutableCopy();
  }

  /**
   * Returns whether the role was acquired, or a pause of this daemon ended, so recently that voters
   * may not have answered yet.
   */
  private boolean isAwaitingFirstAnswers(long nowNanos) {
    return nowNanos - Math.max(roleAcquiredAt, resumedAt) < VOTER_LOST_AFTER.toNanos();
  }

  /**
   * Returns the daemons that may dispatch. Missing answers are ignored for 1 s after the start of
   * the term or a pause of this daemon.
   */
  private ImmutableSet<HostId> dispatchers(
      Coordinator current, ImmutableSet<HostId> eligible, long nowNanos) {
    long since = Math.max(resumedAt, roleAcquiredAt);
    boolean withinGracePeriod = nowNanos - since < Duration.ofSeconds(1).toNanos();
    ImmutableSet<HostId> alive =
        eligible.stream()
            .filter(h -> withinGracePeriod || current.hasAnsweredRecently(h, nowNanos))
            .collect(toImmutableSet());
    boolean fallBackToSelf = alive.isEmpty() && !members.isRetiring(context.host());
    return fallBackToSelf ? ImmutableSet.of(context.host()) : alive;
  }

  void onHeartbeat(HostId from, Heartbeat heartbeat, long nowNanos, Outbox out) {
    boolean otherCell = !heartbeat.cell().equals(context.cell());
    boolean outdated = heartbeat.term() < authority().term();
    if (otherCell || outdated) {
      return;
    }
    authority().recordTerm(heartbeat.term());
    boolean answersThisRun = held.isAnswerOfThisRun(heartbeat.answered());
    if (!held.accept(heartbeat, nowNanos)) {
      return;
    }
    lastHeardCoordinator = Optional.of(from);
    coordinatorKnowsThisRun = answersThisRun && heartbeat.term() >= held.term();
    responder.onHeartbeat(from, heartbeat, nowNanos, out);
  }

  void onHeartbeatAck(HostId from, HeartbeatAck ack, long nowNanos, Outbox out) {
    coordinator.ifPresent(c -> c.onHeartbeatAck(from, ack, nowNanos, out));
  }

  void onPromiseRequest(HostId from, PromiseRequest request, long nowNanos, Outbox out) {
    if (request.row().equals(authority().rowName())) {
      authority().recordTerm(request.term());
      boolean wantsShort = request.duration().compareTo(context.timings().promise()) <= 0;
      if (wantsShort && coordinatorKnowsThisRun) {
        promises.ruleOutLongPromise();
      }
      if (!wantsShort || !isListedVoter()) {
        rowReads.requestRead();
      }
      answerPromiseRequest(from, request, nowNanos, out);
      return;
    }
    remoteTakeovers.onPromiseRequest(request, nowNanos, out).ifPresent(p -> out.send(from, p));
  }

  /**
   * Returns whether the last read row lists this daemon as a voter; if not, a promise request shows
   * that the row is outdated.
   */
  private boolean isListedVoter() {
    return authority().row().filter(r -> r.voters().contains(context.host())).isPresent();
  }

  /**
   * Answers a request for the cell's role. The present holder promises nothing to a holder of the
   * same or an earlier term.
   */
  private void answerPromiseRequest(
      HostId from, PromiseRequest request, long nowNanos, Outbox out) {
    if (authority().isHolder() && request.term() <= authority().term()) {
      out.send(
          from,
          new Promise(
              request.row(),
              request.term(),
              request.sequence(),
              Duration.ZERO,
              authority().term()));
      return;
    }
    boolean reachable = context.platform().isReachable();
    out.send(from, promises.promise(request, reachable, nowNanos));
  }

  void onPromise(HostId from, Promise promise, long nowNanos) {
    if (promise.row().equals(authority().rowName())) {
      authority().onPromise(from, promise, nowNanos);
    }
    if (promise.row().equals(takeoverRole.authority().rowName())) {
      takeoverRole.onPromise(from, promise, nowNanos);
    }
  }

  void onHello(HostId host) {
    members.onHello(host);
  }

  void onLeaving(HostId host) {
    members.onLeaving(host);
  }

  void onPlatformReply(long call, Reply reply, long nowNanos, Outbox out) {
    context.platform().onReply(reply, nowNanos);
    role.onReply(call, reply, nowNanos, out);
    takeoverRole.onReply(call, reply, nowNanos, out);
    remoteTakeovers.onReply(call, reply, nowNanos, out);
    coordinator.ifPresent(c -> c.onPlatformReply(call, reply, nowNanos, out));
  }

  void onUpstreamReply(ControlEvent.UpstreamReplied event, long nowNanos, Outbox out) {
    coordinator.ifPresent(
        c -> c.onUpstreamReply(event.call(), event.upstream(), event.reply(), nowNanos, out));
  }

  void onLoadReported(ImmutableList<UpstreamLoad> loads, long nowNanos, Outbox out) {
    responder.onLoadReported(loads, nowNanos, out);
    coordinator.ifPresent(c -> c.onLoadReported(context.host(), loads, nowNanos));
  }

  void onStopRequested() {
    stopping = true;
    members.onLeaving(context.host());
  }

  /**
   * Applies a change of the role, makes the decisions of the coordinator and announces the changes.
   */
  void update(ControlEvent event, long nowNanos, Outbox out) {
    applyRoleChange(nowNanos, out);
    boolean mayMove = !stopping && !members.isRetiring(context.host());
    coordinator
        .filter(c -> triggersDecisions(event) && authority().hasAuthority(nowNanos))
        .ifPresent(c -> c.update(mayMove, nowNanos, out));
    if (stopping || members.isRetiring(context.host())) {
      handOver(nowNanos, out);
    }
    announcer.announceIfChanged(nowNanos, out);
  }

  /**
   * Returns whether decisions are made immediately after an event. Peer messages, load reports and
   * grant confirmations wait for the next tick, which saves work.
   */
  private static boolean triggersDecisions(ControlEvent event) {
    return switch (event) {
      case ControlEvent.Tick t -> true;
      case ControlEvent.PlatformReplied r -> true;
      case ControlEvent.UpstreamReplied r -> !(r.reply() instanceof UpstreamRequest.Reply.Granted);
      case ControlEvent.StopRequested s -> true;
      case ControlEvent.PeerMessageReceived m -> false;
      case ControlEvent.LoadReported l -> false;
      case ControlEvent.OperatorRequested o -> false;
    };
  }

  private void applyRoleChange(long nowNanos, Outbox out) {
    if (!authority().isHolder()) {
      coordinator.ifPresent(c -> loseRole(c, out));
      return;
    }
    if (coordinator.filter(c -> c.term() == authority().term()).isPresent()) {
      return;
    }
    PlacementFreeze freeze =
        promises.wasResigned(authority().rowName())
            ? PlacementFreeze.after(nowNanos, context.timings())
            : PlacementFreeze.NONE;
    coordinator =
        Optional.of(
            new Coordinator(
                context, authority().term(), bounds, freeze, unknownGrantsUntil(nowNanos)));
    roleAcquiredAt = nowNanos;
    out.log(
        EventCode.COORDINATOR_ROLE_TAKEN,
        DecisionEvent.CELL_FIELD,
        context.cell(),
        "term",
        authority().term());
    lastRoundAt = nowNanos;
    coordinator.ifPresent(c -> runRound(c, nowNanos, out));
  }

  /**
   * Returns the time until which long grants of an earlier run may be valid; a time that is not in
   * the future if there are none.
   */
  private long unknownGrantsUntil(long nowNanos) {
    boolean firstTerm = authority().term() <= 1;
    boolean noLongGrants = firstTerm || promises.isLongPromiseRuledOut(longestPromise(), nowNanos);
    return noLongGrants
        ? nowNanos
        : startedAt + context.timings().plusClockMargin(longestPromise());
  }

  private void loseRole(Coordinator former, Outbox out) {
    coordinator = Optional.empty();
    held.clear();
    out.log(
        EventCode.COORDINATOR_ROLE_LOST,
        DecisionEvent.CELL_FIELD,
        context.cell(),
        "term",
        former.term());
  }

  /**
   * Resigns once a successor can take over everything, and reports when this daemon has handed over
   * all its work.
   */
  private void handOver(long nowNanos, Outbox out) {
    if (stoppingSince == Long.MAX_VALUE) {
      stoppingSince = nowNanos;
      context.members().live(context.cell(), nowNanos).stream()
          .filter(h -> !h.equals(context.host()))
          .forEach(h -> out.send(h, new Leaving(context.host())));
    }
    coordinator.ifPresent(c -> resignWhenSettled(c, nowNanos, out));
    boolean done = coordinator.isEmpty() && held.currentLeases(nowNanos).isEmpty();
    boolean timedOut = nowNanos - stoppingSince > HANDOVER_TIMEOUT.toNanos();
    if (stopping && !stopped && (done || timedOut)) {
      stopped = true;
      out.handoverCompleted();
    }
  }

  /** Returns whether a grant may outlast the placement freeze of a successor. */
  private boolean hasLongGrants(Coordinator current, long nowNanos) {
    return current.latestGrantEnd()
        > PlacementFreeze.after(nowNanos, context.timings()).untilNanos();
  }

  private void resignWhenSettled(Coordinator current, long nowNanos, Outbox out) {
    boolean hasSuccessor =
        authority().otherVoters().stream().anyMatch(v -> authority().hasPromised(v, nowNanos));
    boolean leasesEnded = !current.mayHoldLease(context.host(), nowNanos);
    if (!hasSuccessor
        || !leasesEnded
        || hasLongGrants(current, nowNanos)
        || !current.isSettled()
        || !context.platform().isReachable()) {
      return;
    }
    takeoverRole.resign(nowNanos, out);
    authority().resign(nowNanos, out);
    loseRole(current, out);
    coordinator = Optional.empty();
  }
}
