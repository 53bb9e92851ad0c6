package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.DispatchDuties;
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

/** Does the duties of one run of a daemon: as a voter, as a dispatcher and as the coordinator. */
final class CellDuties {
  private static final Duration LONG_GAP = Duration.ofMillis(500);
  private static final Duration VOTER_LOST_AFTER = Duration.ofSeconds(2);
  private static final Duration ALONE_LIMIT = Duration.ofSeconds(10);

  private final CellContext context;
  private final PromiseBook book;
  private final RoleKeeper role;
  private final TakeoverRule rule;
  private final OwnTakeoverRole takeover;
  private final ForeignTakeovers foreign;
  private final LeaseBounds bounds;
  private final HeldLeases held = new HeldLeases();
  private final Announcer announcer;
  private final RowReadPlan reads = new RowReadPlan();
  private final CellMembers members;
  private final HeartbeatAnswers answers;
  private Optional<Coordinator> coordinator = Optional.empty();
  private Optional<HostId> heardCoordinator = Optional.empty();
  private long roundAt = Long.MIN_VALUE / 4;
  private final long startedAt;
  private long tickAt;
  private long resumedAt;
  private long takenAt;
  private boolean holderKnowsThisRun;
  private boolean stopping;
  private boolean stopped;
  private long stoppingSince = Long.MAX_VALUE;

  CellDuties(CellContext context, long nowNanos) {
    this.context = context;
    this.members = new CellMembers(context);
    this.book = new PromiseBook(context.timings(), nowNanos);
    var authority =
        new CellAuthority(
            "cell/" + context.cell(), context.host(), context.timings(), context.ids(), book);
    this.role = new RoleKeeper(context.host(), context.timings(), authority, context.ids());
    this.rule = new TakeoverRule(context.host(), context.timings(), book);
    this.takeover = new OwnTakeoverRole(context, book);
    this.foreign = new ForeignTakeovers(context, book);
    this.bounds = new LeaseBounds(context, authority, takeover.authority());
    this.answers = new HeartbeatAnswers(context);
    this.announcer = new Announcer(context);
    this.startedAt = nowNanos;
    this.tickAt = nowNanos;
    this.resumedAt = nowNanos;
  }

  Optional<HostId> coordinatorHost() {
    return authority().isHolder() ? Optional.of(context.host()) : heardCoordinator;
  }

  boolean hasAuthority(long nowNanos) {
    return authority().has(nowNanos);
  }

  ImmutableList<DispatchLease> heldLeases(long nowNanos) {
    return held.current(nowNanos);
  }

  DispatchDuties dispatchDuties(long nowNanos) {
    return new DispatchDuties(held.current(nowNanos), held.givenUp(), nowNanos);
  }

  private CellAuthority authority() {
    return role.authority();
  }

  void tick(long nowNanos, Outbox out) {
    if (nowNanos - tickAt > LONG_GAP.toNanos()) {
      resumedAt = nowNanos;
    }
    tickAt = nowNanos;
    role.tick(nowNanos, out);
    readRow(nowNanos, out);
    take(nowNanos, out);
    boolean isDue = nowNanos - roundAt >= context.timings().heartbeat().toNanos();
    if (isDue || coordinator.filter(Coordinator::isHandOverReady).isPresent()) {
      roundAt = nowNanos;
      coordinator.ifPresent(c -> round(c, nowNanos, out));
    }
  }

  private void readRow(long nowNanos, Outbox out) {
    boolean wanted = !authority().isHolder() && book.endsSoon(authority().rowName(), nowNanos);
    boolean urgent = authority().row().isEmpty() || authority().isOutdated() || wanted;
    boolean failing = !context.platform().isReachable();
    if (!role.isBusy() && reads.isDue(urgent || failing, authority().isHolder(), nowNanos)) {
      role.read(out);
    }
  }

  private void take(long nowNanos, Outbox out) {
    boolean excluded = stopping || members.isRetiring(context.host()) || role.isBusy();
    if (excluded
        || !authority().isKnown()
        || !rule.mayTake(authority(), longestPromise(), nowNanos)) {
      return;
    }
    role.take(authority().voters(), nowNanos, out);
  }

  /** Zero unless a service may have caused long promises that this run does not know of. */
  private Duration longestPromise() {
    if (context.store().configuration().version() == 0) {
      return CutOffRule.DEFAULT_LONG_PROMISE; // the rules of the services are not known yet
    }
    return context.store().configuration().services().values().stream()
        .flatMap(s -> ServiceRules.hold(s).stream())
        .map(CutOffRule.Hold::longPromise)
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }

  private void round(Coordinator current, long nowNanos, Outbox out) {
    ImmutableSet<HostId> eligible = members.eligible(nowNanos);
    role.requestPromises(eligible, promiseToAsk(current, nowNanos), nowNanos, out);
    if (context.platform().isReachable()) {
      role.keep(wantedVoters(eligible, nowNanos), nowNanos, out);
    }
    boolean active = authority().has(nowNanos) && hasLapseService();
    takeover.setActive(active);
    if (active) {
      takeover.round(nowNanos, out);
      foreign.round(nowNanos, out);
    }
    ImmutableSet<HostId> dispatchers = dispatchers(current, eligible, nowNanos);
    ImmutableList<DispatchLease> own = current.round(members.all(), dispatchers, nowNanos, out);
    held.acceptOwn(current.term(), own, nowNanos);
  }

  /** Long while an outage lasts or grants of an outage are still in force somewhere. */
  private Duration promiseToAsk(Coordinator current, long nowNanos) {
    Duration promise = context.timings().promise();
    if (context.platform().isOutage(nowNanos)) {
      Duration wanted = longestPromise();
      return wanted.compareTo(promise) > 0 ? wanted : promise;
    }
    Duration left = Duration.ofNanos(Math.max(0, current.latestGrantEnd() - nowNanos));
    boolean longGrants = left.compareTo(promise.plus(context.timings().heartbeat())) > 0;
    return longGrants ? left : promise;
  }

  private boolean hasLapseService() {
    return context.store().configuration().services().values().stream()
        .anyMatch(ServiceRules::isLapse);
  }

  private ImmutableSet<HostId> wantedVoters(ImmutableSet<HostId> eligible, long nowNanos) {
    ImmutableSet<HostId> answering =
        authority().otherVoters().stream()
            .filter(v -> !members.isGoing(v))
            .filter(
                v -> isNewTerm(nowNanos) || authority().hasAnswered(v, VOTER_LOST_AFTER, nowNanos))
            .collect(toImmutableSet());
    return Sets.union(answering, eligible).immutableCopy();
  }

  /** A new holder gives the voters time for their first answers. */
  private boolean isNewTerm(long nowNanos) {
    return nowNanos - Math.max(takenAt, resumedAt) < VOTER_LOST_AFTER.toNanos();
  }

  /** After a pause of this daemon or at the start of its term, silence says nothing for a while. */
  private ImmutableSet<HostId> dispatchers(
      Coordinator current, ImmutableSet<HostId> eligible, long nowNanos) {
    long since = Math.max(resumedAt, takenAt);
    boolean justResumed = nowNanos - since < Duration.ofSeconds(1).toNanos();
    ImmutableSet<HostId> alive =
        eligible.stream()
            .filter(h -> justResumed || current.hasAnsweredLately(h, nowNanos))
            .collect(toImmutableSet());
    boolean keepsOwn = alive.isEmpty() && !members.isRetiring(context.host());
    return keepsOwn ? ImmutableSet.of(context.host()) : alive;
  }

  void heartbeat(HostId from, Heartbeat heartbeat, long nowNanos, Outbox out) {
    boolean foreignCell = !heartbeat.cell().equals(context.cell());
    boolean outdated = heartbeat.term() < authority().term();
    if (foreignCell || outdated) {
      return;
    }
    authority().noteTerm(heartbeat.term());
    boolean answersThisRun = held.knowsAnswer(heartbeat.answered());
    if (!held.accept(heartbeat, nowNanos)) {
      return;
    }
    heardCoordinator = Optional.of(from);
    holderKnowsThisRun = answersThisRun && heartbeat.term() >= held.term();
    answers.answer(from, heartbeat, nowNanos, out);
  }

  void acknowledged(HostId from, HeartbeatAck ack, long nowNanos, Outbox out) {
    coordinator.ifPresent(c -> c.acknowledged(from, ack, nowNanos, out));
  }

  void promiseRequested(HostId from, PromiseRequest request, long nowNanos, Outbox out) {
    if (request.row().equals(authority().rowName())) {
      authority().noteTerm(request.term());
      boolean wantsShort = request.duration().compareTo(context.timings().promise()) <= 0;
      if (wantsShort && holderKnowsThisRun) {
        book.excludeLongPromise();
      }
      if (!wantsShort || !isKnownVoter()) {
        reads.readSoon();
      }
      answerForCell(from, request, nowNanos, out);
      return;
    }
    foreign.promise(request, nowNanos, out).ifPresent(p -> out.send(from, p));
  }

  /** A daemon that is asked but sees itself as no voter has an old view of the row. */
  private boolean isKnownVoter() {
    return authority().row().filter(r -> r.voters().contains(context.host())).isPresent();
  }

  /** The holder itself promises nothing to a holder of an earlier term. */
  private void answerForCell(HostId from, PromiseRequest request, long nowNanos, Outbox out) {
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
    out.send(from, book.promise(request, reachable, nowNanos));
  }

  void promised(HostId from, Promise promise, long nowNanos) {
    if (promise.row().equals(authority().rowName())) {
      authority().promised(from, promise, nowNanos);
    }
    if (promise.row().equals(takeover.authority().rowName())) {
      takeover.promised(from, promise, nowNanos);
    }
  }

  /** A daemon that introduces itself is not about to leave any more. */
  void introduced(HostId host) {
    members.introduced(host);
  }

  void leaving(HostId host) {
    members.leaving(host);
  }

  void platformReplied(long call, Reply reply, long nowNanos, Outbox out) {
    context.platform().replied(reply, nowNanos);
    role.replied(call, reply, nowNanos, out);
    takeover.replied(call, reply, nowNanos, out);
    foreign.replied(call, reply, nowNanos, out);
    coordinator.ifPresent(c -> c.platformReplied(call, reply, nowNanos, out));
  }

  void upstreamReplied(ControlEvent.UpstreamReplied event, long nowNanos, Outbox out) {
    coordinator.ifPresent(
        c -> c.upstreamReplied(event.call(), event.upstream(), event.reply(), nowNanos, out));
  }

  void loadReported(ImmutableList<UpstreamLoad> loads, long nowNanos, Outbox out) {
    answers.reported(loads, nowNanos, out);
    coordinator.ifPresent(c -> c.reported(context.host(), loads, nowNanos));
  }

  void stop() {
    stopping = true;
    members.leaving(context.host());
  }

  /** Follows a change of the role, decides as the coordinator, and announces what changed. */
  void update(ControlEvent event, long nowNanos, Outbox out) {
    followRole(nowNanos, out);
    boolean mayMove = !stopping && !members.isRetiring(context.host());
    coordinator
        .filter(c -> decidesAfter(event) && authority().has(nowNanos))
        .ifPresent(c -> c.update(mayMove, nowNanos, out));
    if (stopping || members.isRetiring(context.host())) {
      handOver(nowNanos, out);
    }
    announcer.announce(nowNanos, out);
  }

  /** Messages of peers change what is decided only by the next tick, which spares work. */
  private static boolean decidesAfter(ControlEvent event) {
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

  private void followRole(long nowNanos, Outbox out) {
    if (!authority().isHolder()) {
      coordinator.ifPresent(c -> loseRole(c, out));
      return;
    }
    if (coordinator.filter(c -> c.term() == authority().term()).isPresent()) {
      return;
    }
    QuietTime quiet =
        book.wasResigned(authority().rowName())
            ? QuietTime.after(nowNanos, context.timings())
            : QuietTime.NONE;
    coordinator =
        Optional.of(
            new Coordinator(context, authority().term(), bounds, quiet, unknownUntil(nowNanos)));
    takenAt = nowNanos;
    out.log(
        EventCode.ROLE_TAKEN, DecisionEvent.CELL_FIELD, context.cell(), "term", authority().term());
    roundAt = nowNanos;
    coordinator.ifPresent(c -> round(c, nowNanos, out));
  }

  /** Returns until when long grants of an earlier run may be in force; a past time if none are. */
  private long unknownUntil(long nowNanos) {
    boolean first = authority().term() <= 1;
    boolean known = first || book.isLongPromiseExcluded(longestPromise(), nowNanos);
    return known ? nowNanos : startedAt + context.timings().withMargin(longestPromise());
  }

  private void loseRole(Coordinator former, Outbox out) {
    coordinator = Optional.empty();
    held.clear();
    out.log(EventCode.ROLE_LOST, DecisionEvent.CELL_FIELD, context.cell(), "term", former.term());
  }

  /** Waits until a successor knows all that is in force, then gives the role up. */
  private void handOver(long nowNanos, Outbox out) {
    if (stoppingSince == Long.MAX_VALUE) {
      stoppingSince = nowNanos;
      context.members().live(context.cell(), nowNanos).stream()
          .filter(h -> !h.equals(context.host()))
          .forEach(h -> out.send(h, new Leaving(context.host())));
    }
    coordinator.ifPresent(c -> resignWhenSettled(c, nowNanos, out));
    boolean done = coordinator.isEmpty() && held.current(nowNanos).isEmpty();
    boolean alone = nowNanos - stoppingSince > ALONE_LIMIT.toNanos();
    if (stopping && !stopped && (done || alone)) {
      stopped = true;
      out.dutiesHandedOver();
    }
  }

  private void resignWhenSettled(Coordinator current, long nowNanos, Outbox out) {
    boolean successor =
        authority().otherVoters().stream().anyMatch(v -> authority().hasPromised(v, nowNanos));
    boolean leasesGone = !current.mayHoldLease(context.host(), nowNanos);
    if (!successor || !leasesGone || !current.isSettled() || !context.platform().isReachable()) {
      return;
    }
    takeover.resign(nowNanos, out);
    authority().resign(nowNanos, out);
    loseRole(current, out);
    coordinator = Optional.empty();
  }
}
