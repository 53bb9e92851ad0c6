package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.catkinlift.bench.traffic.EntryDaemon.Target;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.retries.HedgeRace;
import org.catkinlift.retries.RetryDecision;
import org.catkinlift.retries.RetryPolicy;
import org.catkinlift.routing.RouteDecision;

/** The processing of one request by an entry daemon, including retries and hedged attempts. */
final class Exchange {
  /** Leaves time for a few heartbeats, through which the daemon learns of a new dispatcher. */
  private static final Duration REROUTE_DELAY = Duration.ofMillis(50);

  private final EntryDaemon daemon;
  private final CallerRequest request;
  private final Consumer<CallerReply> reply;
  private final long deadlineNanos;
  private final long startedNanos;
  private final Map<Long, Target> targets = new HashMap<>();
  private ImmutableSet<UpstreamId> triedUpstreams = ImmutableSet.of();
  private Optional<Outcome> earlierOutcome = Optional.empty();
  private HedgeRace race;
  private int attemptsMade;

  Exchange(EntryDaemon daemon, CallerRequest request, Consumer<CallerReply> reply) {
    this.daemon = daemon;
    this.request = request;
    this.reply = reply;
    this.startedNanos = now();
    this.deadlineNanos = startedNanos + request.description().deadline().toNanos();
  }

  void start() {
    attemptsMade++;
    Optional<Target> target = selectTarget();
    if (target.isEmpty()) {
      return;
    }
    race = new HedgeRace(send(target.get()));
    HedgeRace current = race;
    daemon
        .hedgingPolicy()
        .delay(request.description().requestClass(), daemon.kind())
        .ifPresent(delay -> daemon.timers().after(delay, () -> hedge(current)));
  }

  private Optional<Target> selectTarget() {
    return switch (daemon.route(remainingRequest(), triedUpstreams)) {
      case RouteDecision.DispatchHere here -> Optional.of(Target.local(here));
      case RouteDecision.Relay relay -> Optional.of(Target.relayed(relay));
      case RouteDecision.Wait none -> {
        finish(Outcome.notRun(RefusalCode.NO_OWNER, none.limit()));
        yield Optional.empty();
      }
      case RouteDecision.Refuse refuse -> {
        finish(refuse.outcome());
        yield Optional.empty();
      }
    };
  }

  private long send(Target target) {
    long sentNanos = now();
    var attempt = new long[1];
    var attemptRequest =
        new CallerRequest(request.number(), remainingRequest(), request.executionTime());
    attempt[0] =
        daemon.send(
            target,
            attemptRequest,
            answer -> handleAttemptResult(attempt[0], target, answer, sentNanos));
    targets.put(attempt[0], target);
    triedUpstreams =
        ImmutableSet.<UpstreamId>builder().addAll(triedUpstreams).add(target.upstream()).build();
    return attempt[0];
  }

  private void hedge(HedgeRace current) {
    if (current.isDecided()) {
      return;
    }
    if (!daemon.hedgingPolicy().tryTake()) {
      return;
    }
    switch (daemon.route(remainingRequest(), triedUpstreams)) {
      case RouteDecision.DispatchHere here -> current.hedged(send(Target.local(here)));
      case RouteDecision.Relay relay -> current.hedged(send(Target.relayed(relay)));
      case RouteDecision.Wait none -> {}
      case RouteDecision.Refuse refuse -> {}
    }
  }

  private void handleAttemptResult(
      long attempt, Target target, CallerReply answer, long sentNanos) {
    Duration latency = Duration.ofNanos(now() - sentNanos);
    if (!race.running().contains(attempt)) {
      return;
    }
    daemon.chooser().finished(target.upstream(), latency, answer.outcome(), now());
    HedgeRace.Step step =
        switch (answer.outcome()) {
          case Outcome.Answered a -> race.answered(attempt);
          case Outcome.NotRun notRun -> race.failed(attempt, notRun);
          case Outcome.Unknown unknown -> race.failed(attempt, unknown);
        };
    switch (step) {
      case HedgeRace.Step.Deliver deliver -> deliver(deliver, answer);
      case HedgeRace.Step.Fail fail -> handleFailure(fail.outcome());
      case HedgeRace.Step.Continue running -> {}
      case HedgeRace.Step.Drop drop -> {}
    }
  }

  private void deliver(HedgeRace.Step.Deliver deliver, CallerReply answer) {
    deliver.cancel().forEach(loser -> daemon.cancel(targets.get(loser), loser));
    daemon.retryBudget().succeeded(now());
    daemon.hedgingPolicy().answered(Duration.ofNanos(now() - startedNanos));
    reply.accept(answer);
  }

  private void handleFailure(Outcome outcome) {
    Outcome combined = earlierOutcome.map(e -> RetryPolicy.combine(e, outcome)).orElse(outcome);
    earlierOutcome = Optional.of(combined);
    RetryDecision decision =
        RetryPolicy.decide(
            request.description().requestClass(),
            attemptsMade,
            combined,
            outcome,
            Duration.ofNanos(deadlineNanos - now()),
            daemon.retryBudget(),
            now());
    switch (decision) {
      case RetryDecision.Retry retry -> daemon.timers().after(retry.delay(), this::start);
      case RetryDecision.Reroute reroute -> daemon.timers().after(REROUTE_DELAY, this::start);
      case RetryDecision.GiveUp giveUp -> finish(giveUp.outcome());
    }
  }

  private void finish(Outcome outcome) {
    Outcome combined = earlierOutcome.map(e -> RetryPolicy.combine(e, outcome)).orElse(outcome);
    reply.accept(CallerReply.of(combined));
  }

  private RequestDescription remainingRequest() {
    return request.description().withDeadline(Duration.ofNanos(Math.max(0, deadlineNanos - now())));
  }

  private long now() {
    return daemon.timers().nowNanos();
  }
}
