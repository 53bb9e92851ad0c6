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
import org.catkinlift.daemon.relay.AttemptListener;
import org.catkinlift.daemon.relay.AttemptStream;
import org.catkinlift.daemon.relay.ContextAttemptListener;
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
 * Handles one request of a caller: routes it, makes attempts, retries and hedges it, and writes the
 * response or refusal. Confined to the event loop of the caller's connection.
 */
final class CallerExchange {
  /**
   * The dispatcher ends a request at its deadline; this margin applies if the dispatcher is lost.
   */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(250);

  private static final Duration RETRY_AFTER_NO_OWNER = Duration.ofMillis(500);

  private static final long NO_TIMER = -1;

  private final ExchangeServices services;
  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final RequestDescription description;
  private final RelayHeadFactory headFactory;
  private final Runnable onEnd;
  private final Context context;
  private final RequestBody body;
  private final ResponseWriter responseWriter;
  private final RequestEvents events;
  private final RoutingWait routingWait;
  private final long receivedNanos = System.nanoTime();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Set<UpstreamId> triedUpstreams = new HashSet<>();

  private long routedGeneration;
  private HedgeRace hedgeRace;
  private Optional<Outcome> earlierOutcome = Optional.empty();
  private Attempt winner;
  private int attemptCount;
  private boolean hedged;
  private boolean ended;
  private long deadlineTimer = NO_TIMER;
  private long hedgeTimer = NO_TIMER;

  CallerExchange(
      ExchangeServices services,
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
    this.headFactory = new RelayHeadFactory(parsed, request, body.isPresent());
    this.responseWriter = new ResponseWriter(request);
    this.events = new RequestEvents(services.events(), description);
    this.routingWait = new RoutingWait(services, this::route);
  }

  void start() {
    response.putHeader(Headers.REQUEST_ID, description.id().value());
    response.closeHandler(v -> callerDisconnected());
    response.exceptionHandler(failure -> callerDisconnected());
    request.exceptionHandler(failure -> callerDisconnected());
    long limit = description.deadline().plus(DEADLINE_MARGIN).toMillis();
    deadlineTimer =
        services.vertx().setTimer(limit, t -> endWithoutResponse(RefusalCode.ANSWER_OVERDUE));
    services.policies().hedging(description.service()).started();
    route();
  }

  private void route() {
    if (ended) {
      return;
    }
    RoutingState state = services.routingState().current();
    routedGeneration = state.generation();
    RouteDecision decision =
        services
            .router()
            .route(
                state.snapshot(),
                description,
                ImmutableSet.copyOf(triedUpstreams),
                System.nanoTime());
    switch (decision) {
      case RouteDecision.DispatchHere here ->
          startAttempt(here.upstream(), here.slot(), here.epoch(), Optional.empty());
      case RouteDecision.Relay relay ->
          openRelay(state, relay.host(), relay.upstream(), relay.slot(), relay.epoch());
      case RouteDecision.Wait wait -> unlessAttemptRunning(() -> waitForOwner(wait.limit()));
      case RouteDecision.Refuse refuse ->
          unlessAttemptRunning(() -> refuse(combineWithEarlier(refuse.outcome())));
    }
  }

  /**
   * Runs a step unless an attempt is running; a hedge that finds no upstream must not affect the
   * first attempt.
   */
  private void unlessAttemptRunning(Runnable step) {
    if (hedgeRace == null) {
      step.run();
    }
  }

  private void openRelay(
      RoutingState state, HostId host, UpstreamId upstream, int slot, Epoch epoch) {
    HostDefinition definition = state.hosts().get(host);
    if (definition == null) {
      unlessAttemptRunning(() -> waitForOwner(RETRY_AFTER_NO_OWNER));
      return;
    }
    startAttempt(upstream, slot, epoch, Optional.of(definition));
  }

  private void waitForOwner(Duration limit) {
    waitForRouting(limit, Outcome.notRun(RefusalCode.NO_OWNER, RETRY_AFTER_NO_OWNER));
  }

  private void waitForRouting(Duration limit, Outcome timeoutOutcome) {
    if (!remainingTime().isPositive() || !routingWait.await(limit)) {
      refuse(combineWithEarlier(timeoutOutcome));
    }
  }

  private void startAttempt(
      UpstreamId upstream, int slot, Epoch epoch, Optional<HostDefinition> remote) {
    attemptCount++;
    triedUpstreams.add(upstream);
    var attempt = new Attempt(attemptCount, upstream, System.nanoTime());
    attempts.put(attempt.number, attempt);
    boolean first = hedgeRace == null;
    if (first) {
      hedgeRace = new HedgeRace(attempt.number);
    } else {
      hedgeRace.hedged(attempt.number);
    }
    services.chooser().started(upstream, attempt.startedNanos);
    RelayHead head = headFactory.create(upstream, slot, epoch, remainingTime());
    events.routed(attempt.number, head, remote);
    var listener = new ContextAttemptListener(context, attempt);
    attempt.stream =
        remote
            .map(host -> services.relayClient().open(host, head, listener))
            .orElseGet(() -> services.localDispatcher().open(head, listener));
    body.sendTo(attempt.stream);
    if (first) {
      scheduleHedge();
    }
  }

  private Duration remainingTime() {
    return description.deadline().minusNanos(System.nanoTime() - receivedNanos);
  }

  private void scheduleHedge() {
    ServiceDefinition service =
        services
            .routingState()
            .current()
            .snapshot()
            .configuration()
            .services()
            .get(description.service());
    if (service == null || body.isPresent()) {
      return;
    }
    Optional<Duration> delay =
        services
            .policies()
            .hedging(description.service())
            .delay(description.requestClass(), service.kind());
    delay.ifPresent(
        d -> hedgeTimer = services.vertx().setTimer(Math.max(1, d.toMillis()), t -> hedge()));
  }

  private void hedge() {
    if (ended || winner != null || attempts.size() != 1) {
      return;
    }
    if (!services.policies().hedging(description.service()).tryTake()) {
      return;
    }
    hedged = true;
    events.hedged();
    route();
  }

  private void responseStarted(
      Attempt attempt, int status, ImmutableListMultimap<String, String> headers) {
    switch (hedgeRace.answered(attempt.number)) {
      case HedgeRace.Step.Deliver deliver -> {
        deliver.cancel().forEach(loser -> cancel(attempts.get(loser)));
        winner = attempt;
        responseWriter.writeHead(status, headers);
      }
      case HedgeRace.Step.Drop drop -> attempt.stream.cancel();
      case HedgeRace.Step.Continue c -> {}
      case HedgeRace.Step.Fail fail -> {}
    }
  }

  private void responseBodyReceived(Attempt attempt, Buffer data, boolean last) {
    if (attempt != winner || ended) {
      return;
    }
    if (last) {
      complete(new Outcome.Answered());
      responseWriter.end();
      return;
    }
    responseWriter.write(data, attempt.stream);
  }

  private void attemptFailed(Attempt attempt, Outcome outcome) {
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
      complete(outcome);
      responseWriter.abort();
      return;
    }
    switch (hedgeRace.failed(attempt.number, outcome)) {
      case HedgeRace.Step.Fail fail -> allAttemptsFailed(fail.outcome());
      case HedgeRace.Step.Continue c -> {}
      case HedgeRace.Step.Drop d -> {}
      case HedgeRace.Step.Deliver d -> {}
    }
  }

  private Outcome combineWithEarlier(Outcome later) {
    return earlierOutcome.map(e -> RetryPolicy.combine(e, later)).orElse(later);
  }

  private void allAttemptsFailed(Outcome last) {
    Outcome outcome = combineWithEarlier(last);
    earlierOutcome = Optional.of(outcome);
    hedgeRace = null;
    if (!body.canReplay()) {
      refuse(outcome);
      return;
    }
    RetryDecision decision =
        RetryPolicy.decide(
            description.requestClass(),
            attemptCount,
            outcome,
            last,
            remainingTime(),
            services.policies().budget(description.service()),
            System.nanoTime());
    switch (decision) {
      case RetryDecision.Retry retry -> retryAfter(retry.delay());
      case RetryDecision.Reroute reroute -> reroute(reroute.limit(), outcome);
      case RetryDecision.GiveUp giveUp -> refuse(giveUp.outcome());
    }
  }

  /**
   * Routes again at once if the routing state has changed since the attempt, otherwise waits for a
   * change.
   */
  private void reroute(Duration limit, Outcome outcome) {
    triedUpstreams.clear();
    if (services.routingState().current().generation() != routedGeneration) {
      route();
      return;
    }
    waitForRouting(limit, outcome);
  }

  private void retryAfter(Duration delay) {
    events.retried(attemptCount);
    var unused = services.vertx().setTimer(Math.max(1, delay.toMillis()), t -> route());
  }

  private void refuse(Outcome outcome) {
    if (ended) {
      return;
    }
    events.refused(outcome);
    complete(outcome);
    RefusalWriter.write(response, description.id(), outcome);
  }

  private void endWithoutResponse(RefusalCode code) {
    if (ended || winner != null) {
      return;
    }
    attempts.values().forEach(a -> a.stream.cancel());
    // The upstream may have executed a started attempt, whatever happened to the dispatcher.
    refuse(
        attempts.isEmpty()
            ? combineWithEarlier(Outcome.notRun(RefusalCode.DEADLINE_PASSED, Duration.ZERO))
            : Outcome.unknown(code));
  }

  private void callerDisconnected() {
    if (ended) {
      return;
    }
    complete(Outcome.unknown(RefusalCode.CONNECTION_LOST));
  }

  private void cancel(Attempt loser) {
    if (loser == null) {
      return;
    }
    attempts.remove(loser.number);
    services.chooser().cancelled(loser.upstream);
    loser.stream.cancel();
  }

  private void complete(Outcome outcome) {
    ended = true;
    services.vertx().cancelTimer(deadlineTimer);
    services.vertx().cancelTimer(hedgeTimer);
    long now = System.nanoTime();
    Duration latency = Duration.ofNanos(now - receivedNanos);
    switch (outcome) {
      case Outcome.Answered answered -> {
        services.policies().budget(description.service()).succeeded(now);
        services.policies().hedging(description.service()).answered(latency);
        attempts.remove(winner.number);
        services
            .chooser()
            .finished(winner.upstream, Duration.ofNanos(now - winner.startedNanos), outcome, now);
      }
      case Outcome.NotRun n -> {}
      case Outcome.Unknown u -> {}
    }
    for (Attempt running : ImmutableList.copyOf(attempts.values())) {
      cancel(running);
    }
    services
        .completionListener()
        .accept(
            new CompletedRequest(description.service(), outcome, latency, attemptCount, hedged));
    onEnd.run();
  }

  /** One attempt; receives its response. */
  private final class Attempt implements AttemptListener {
    private final long number;
    private final UpstreamId upstream;
    private final long startedNanos;
    private AttemptStream stream;

    private Attempt(long number, UpstreamId upstream, long startedNanos) {
      this.number = number;
      this.upstream = upstream;
      this.startedNanos = startedNanos;
    }

    @Override
    public void headReceived(int status, ImmutableListMultimap<String, String> headers) {
      if (hedgeRace == null || ended) {
        stream.cancel();
        return;
      }
      responseStarted(this, status, headers);
    }

    @Override
    public void bodyReceived(Buffer data, boolean last) {
      responseBodyReceived(this, data, last);
    }

    @Override
    public void creditGranted(int bytes) {
      body.creditGranted(bytes);
    }

    @Override
    public void failed(Outcome outcome) {
      CallerExchange.this.attemptFailed(this, outcome);
    }
  }
}
