package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.daemon.RoutingState;
import org.catkinlift.daemon.relay.ContextEntryEnd;
import org.catkinlift.daemon.relay.DispatchEnd;
import org.catkinlift.daemon.relay.EntryEnd;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.RelayHead;
import org.catkinlift.retries.HedgeRace;
import org.catkinlift.retries.RetryDecision;
import org.catkinlift.retries.RetryPolicy;
import org.catkinlift.routing.RouteDecision;

/**
 * Carries one request of a caller through its attempts to its answer or refusal. Confined to the
 * event loop of the caller's connection.
 */
final class EntryExchange {
  /** The dispatcher ends a request at its deadline; this covers a dispatcher that is lost. */
  private static final Duration BACKSTOP = Duration.ofMillis(250);

  private static final Duration RETRY_AFTER_NO_OWNER = Duration.ofMillis(500);

  private static final long NO_TIMER = -1;

  private final EntryServices services;
  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final RequestDescription description;
  private final AttemptHeads heads;
  private final Runnable onEnd;
  private final Context context;
  private final RequestBody body;
  private final AnswerWriter answer;
  private final EntryEvents events;
  private final RoutingWait routingWait;
  private final long receivedNanos = System.nanoTime();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Set<UpstreamId> tried = new HashSet<>();

  private long routedGeneration;
  private HedgeRace race;
  private Optional<Outcome> earlier = Optional.empty();
  private Attempt winner;
  private int attemptsMade;
  private boolean hedged;
  private boolean ended;
  private long backstopTimer = NO_TIMER;
  private long hedgeTimer = NO_TIMER;

  EntryExchange(
      EntryServices services,
      HttpServerRequest request,
      RequestParser.Parsed.Request parsed,
      Runnable onEnd) {
    this.services = services;
    this.request = request;
    this.response = request.response();
    this.description = parsed.description();
    this.onEnd = onEnd;
    this.context = services.vertx().getOrCreateContext();
    this.body = new RequestBody(request);
    this.heads = new AttemptHeads(parsed, request, body.isPresent());
    this.answer = new AnswerWriter(request);
    this.events = new EntryEvents(services.events(), description);
    this.routingWait = new RoutingWait(services, this::route);
  }

  void start() {
    response.putHeader(Headers.REQUEST_ID, description.id().value());
    response.closeHandler(v -> callerGone());
    response.exceptionHandler(failure -> callerGone());
    request.exceptionHandler(failure -> callerGone());
    long limit = description.deadline().plus(BACKSTOP).toMillis();
    backstopTimer =
        services.vertx().setTimer(limit, t -> endUnanswered(RefusalCode.ANSWER_OVERDUE));
    services.rules().hedge(description.service()).started();
    route();
  }

  private void route() {
    if (ended) {
      return;
    }
    RoutingState state = services.states().state();
    routedGeneration = state.generation();
    RouteDecision decision =
        services
            .router()
            .route(state.snapshot(), description, ImmutableSet.copyOf(tried), System.nanoTime());
    switch (decision) {
      case RouteDecision.DispatchHere here ->
          open(here.upstream(), here.slot(), here.epoch(), Optional.empty());
      case RouteDecision.Relay relay ->
          openRelay(state, relay.host(), relay.upstream(), relay.slot(), relay.epoch());
      case RouteDecision.Wait wait -> withoutAttempt(() -> waitForOwner(wait.limit()));
      case RouteDecision.Refuse refuse -> withoutAttempt(() -> giveUp(combined(refuse.outcome())));
    }
  }

  /** A second attempt that finds no upstream leaves the first one alone. */
  private void withoutAttempt(Runnable step) {
    if (race == null) {
      step.run();
    }
  }

  private void openRelay(
      RoutingState state, HostId host, UpstreamId upstream, int slot, Epoch epoch) {
    HostDefinition definition = state.hosts().get(host);
    if (definition == null) {
      withoutAttempt(() -> waitForOwner(RETRY_AFTER_NO_OWNER));
      return;
    }
    open(upstream, slot, epoch, Optional.of(definition));
  }

  private void waitForOwner(Duration limit) {
    waitForRouting(limit, Outcome.notRun(RefusalCode.NO_OWNER, RETRY_AFTER_NO_OWNER));
  }

  private void waitForRouting(Duration limit, Outcome otherwise) {
    if (!remaining().isPositive() || !routingWait.await(limit)) {
      giveUp(combined(otherwise));
    }
  }

  private void open(UpstreamId upstream, int slot, Epoch epoch, Optional<HostDefinition> remote) {
    attemptsMade++;
    tried.add(upstream);
    var attempt = new Attempt(attemptsMade, upstream, System.nanoTime());
    attempts.put(attempt.number, attempt);
    boolean first = race == null;
    if (first) {
      race = new HedgeRace(attempt.number);
    } else {
      race.hedged(attempt.number);
    }
    services.chooser().started(upstream, attempt.startedNanos);
    RelayHead head = heads.next(upstream, slot, epoch, remaining());
    events.routed(attempt.number, head, remote);
    var entry = new ContextEntryEnd(context, attempt);
    attempt.dispatch =
        remote
            .map(host -> services.relays().open(host, head, entry))
            .orElseGet(() -> services.local().open(head, entry));
    body.sendTo(attempt.dispatch);
    if (first) {
      scheduleHedge();
    }
  }

  private Duration remaining() {
    return description.deadline().minusNanos(System.nanoTime() - receivedNanos);
  }

  private void scheduleHedge() {
    ServiceDefinition service =
        services.states().state().snapshot().configuration().services().get(description.service());
    if (service == null || body.isPresent()) {
      return;
    }
    Optional<Duration> delay =
        services
            .rules()
            .hedge(description.service())
            .delay(description.requestClass(), service.kind());
    delay.ifPresent(
        d -> hedgeTimer = services.vertx().setTimer(Math.max(1, d.toMillis()), t -> hedge()));
  }

  private void hedge() {
    if (ended || winner != null || attempts.size() != 1) {
      return;
    }
    if (!services.rules().hedge(description.service()).tryTake()) {
      return;
    }
    hedged = true;
    events.hedged();
    route();
  }

  private void answerBegins(
      Attempt attempt, int status, ImmutableListMultimap<String, String> headers) {
    switch (race.answered(attempt.number)) {
      case HedgeRace.Step.Deliver deliver -> {
        deliver.cancel().forEach(loser -> cancel(attempts.get(loser)));
        winner = attempt;
        answer.writeHead(status, headers);
      }
      case HedgeRace.Step.Drop drop -> attempt.dispatch.cancel();
      case HedgeRace.Step.Continue c -> {}
      case HedgeRace.Step.Fail fail -> {}
    }
  }

  private void answerContinues(Attempt attempt, Buffer data, boolean last) {
    if (attempt != winner || ended) {
      return;
    }
    if (last) {
      finish(new Outcome.Answered());
      answer.end();
      return;
    }
    answer.write(data, attempt.dispatch);
  }

  private void failed(Attempt attempt, Outcome outcome) {
    attempts.remove(attempt.number);
    services
        .chooser()
        .finished(
            attempt.upstream,
            Duration.ofNanos(System.nanoTime() - attempt.startedNanos),
            outcome,
            System.nanoTime());
    if (ended) {
      return;
    }
    if (attempt == winner) {
      finish(outcome);
      answer.abort();
      return;
    }
    switch (race.failed(attempt.number, outcome)) {
      case HedgeRace.Step.Fail fail -> afterRound(fail.outcome());
      case HedgeRace.Step.Continue c -> {}
      case HedgeRace.Step.Drop d -> {}
      case HedgeRace.Step.Deliver d -> {}
    }
  }

  private Outcome combined(Outcome later) {
    return earlier.map(e -> RetryPolicy.combine(e, later)).orElse(later);
  }

  private void afterRound(Outcome last) {
    Outcome outcome = combined(last);
    earlier = Optional.of(outcome);
    race = null;
    if (!body.canReplay()) {
      giveUp(outcome);
      return;
    }
    RetryDecision decision =
        RetryPolicy.decide(
            description.requestClass(),
            attemptsMade,
            outcome,
            last,
            remaining(),
            services.rules().budget(description.service()),
            System.nanoTime());
    switch (decision) {
      case RetryDecision.Retry retry -> retryAfter(retry.delay());
      case RetryDecision.Reroute reroute -> reroute(reroute.limit(), outcome);
      case RetryDecision.GiveUp end -> giveUp(end.outcome());
    }
  }

  /** Routes again at once if the snapshot has changed since the attempt, else after a change. */
  private void reroute(Duration limit, Outcome outcome) {
    tried.clear();
    if (services.states().state().generation() != routedGeneration) {
      route();
      return;
    }
    waitForRouting(limit, outcome);
  }

  private void retryAfter(Duration delay) {
    events.retried(attemptsMade);
    var unused = services.vertx().setTimer(Math.max(1, delay.toMillis()), t -> route());
  }

  private void giveUp(Outcome outcome) {
    if (ended) {
      return;
    }
    events.refused(outcome);
    finish(outcome);
    RefusalWriter.write(response, description.id(), outcome);
  }

  private void endUnanswered(RefusalCode code) {
    if (ended || winner != null) {
      return;
    }
    attempts.values().forEach(a -> a.dispatch.cancel());
    // An attempt that was opened may have run, whatever happened to its dispatcher.
    giveUp(
        attempts.isEmpty()
            ? combined(Outcome.notRun(RefusalCode.DEADLINE_PASSED, Duration.ZERO))
            : Outcome.unknown(code));
  }

  private void callerGone() {
    if (ended) {
      return;
    }
    finish(Outcome.unknown(RefusalCode.CONNECTION_LOST));
  }

  private void cancel(Attempt loser) {
    if (loser == null) {
      return;
    }
    attempts.remove(loser.number);
    services.chooser().cancelled(loser.upstream);
    loser.dispatch.cancel();
  }

  private void finish(Outcome outcome) {
    ended = true;
    services.vertx().cancelTimer(backstopTimer);
    services.vertx().cancelTimer(hedgeTimer);
    long now = System.nanoTime();
    Duration latency = Duration.ofNanos(now - receivedNanos);
    switch (outcome) {
      case Outcome.Answered answered -> {
        services.rules().budget(description.service()).succeeded(now);
        services.rules().hedge(description.service()).answered(latency);
        attempts.remove(winner.number);
        services
            .chooser()
            .finished(winner.upstream, Duration.ofNanos(now - winner.startedNanos), outcome, now);
      }
      case Outcome.NotRun n -> {}
      case Outcome.Unknown u -> {}
    }
    for (Attempt left : ImmutableList.copyOf(attempts.values())) {
      cancel(left);
    }
    services
        .observer()
        .accept(new RequestEnd(description.service(), outcome, latency, attemptsMade, hedged));
    onEnd.run();
  }

  /** One attempt, as its dispatcher side sees it. */
  private final class Attempt implements EntryEnd {
    private final long number;
    private final UpstreamId upstream;
    private final long startedNanos;
    private DispatchEnd dispatch;

    private Attempt(long number, UpstreamId upstream, long startedNanos) {
      this.number = number;
      this.upstream = upstream;
      this.startedNanos = startedNanos;
    }

    @Override
    public void head(int status, ImmutableListMultimap<String, String> headers) {
      if (race == null || ended) {
        dispatch.cancel();
        return;
      }
      answerBegins(this, status, headers);
    }

    @Override
    public void body(Buffer data, boolean last) {
      answerContinues(this, data, last);
    }

    @Override
    public void credit(int bytes) {
      body.credit(bytes);
    }

    @Override
    public void failed(Outcome outcome) {
      EntryExchange.this.failed(this, outcome);
    }
  }
}
