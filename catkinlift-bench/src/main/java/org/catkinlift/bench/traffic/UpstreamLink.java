package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.catkinlift.connections.ConnectionAction;
import org.catkinlift.connections.ConnectionHealth;
import org.catkinlift.connections.ConnectionLimit;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.limits.DispatchAction;
import org.catkinlift.limits.UpstreamDispatcher;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.timer.VirtualTimerService;

/**
 * Connects a dispatcher to a fake upstream and executes the actions that the dispatcher returns.
 */
final class UpstreamLink {
  /** One-way latency between a dispatcher and an upstream in the same availability zone. */
  private static final Duration ZONE_HOP_LATENCY = Duration.ofNanos(100_000);

  private static final Duration CONNECT_TIME = Duration.ofMillis(1);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
  private static final Duration LEASE_RENEWAL_INTERVAL = Duration.ofMillis(250);
  private static final Duration LEASE_DURATION = Duration.ofSeconds(1);
  private static final Duration INHERITED_REQUESTS_REPORT_DELAY = Duration.ofMillis(500);
  private static final Duration PROBE_DEADLINE = Duration.ofSeconds(10);

  private final VirtualTimerService timers;
  private final FakeUpstream upstream;
  private final UpstreamDispatcher dispatcher;
  private final DispatchLease lease;
  private final ConnectionHealth health = new ConnectionHealth();
  private final ConnectionLimit connections;
  private final Deque<Long> idle = new ArrayDeque<>();
  private final Map<Long, Long> attemptByConnection = new HashMap<>();
  private final Map<Long, PendingAttempt> pendingAttempts = new HashMap<>();
  private long nextConnection = 1;
  private long nextProbeAttempt = -1;
  private int retiredConnections;
  private int droppedAnswers;

  private record PendingAttempt(CallerRequest request, int slot, Consumer<CallerReply> reply) {}

  UpstreamLink(
      TrafficSimulation simulation, UpstreamDefinition definition, HostId self, int limit) {
    this.timers = simulation.timers();
    this.upstream = simulation.upstream(definition.id());
    this.dispatcher = new UpstreamDispatcher(definition.id(), self, limit, timers.nowNanos());
    this.connections = new ConnectionLimit(definition.connectionLimit());
    this.lease = new DispatchLease(definition.id(), self, Epoch.of(1, 1), LEASE_DURATION);
    start();
  }

  void offer(long attempt, CallerRequest request, int slot, Consumer<CallerReply> reply) {
    pendingAttempts.put(attempt, new PendingAttempt(request, slot, reply));
    apply(
        dispatcher.offer(attempt, request.description(), slot, Epoch.of(1, 1), timers.nowNanos()));
  }

  void cancel(long attempt) {
    pendingAttempts.remove(attempt);
    attemptByConnection.forEach(
        (connection, currentAttempt) -> {
          if (currentAttempt == attempt) {
            health.abandoned(connection, attempt);
          }
        });
    apply(dispatcher.cancelled(attempt, timers.nowNanos()));
  }

  /**
   * Reports the instance of the upstream to the dispatcher after a delay, as the coordinator does.
   */
  void probe(Duration delay) {
    timers.after(
        delay, () -> apply(dispatcher.instanceSeen(upstream.instance(), timers.nowNanos())));
  }

  /** Silences the idle connection that the next request uses, if there is one. */
  void silenceOneConnection() {
    Long connection = idle.peek();
    if (connection != null) {
      upstream.silence(connection);
    }
  }

  int retiredConnections() {
    return retiredConnections;
  }

  int droppedAnswers() {
    return droppedAnswers;
  }

  private void start() {
    var unused =
        timers.every(LEASE_RENEWAL_INTERVAL, () -> apply(dispatcher.leaseGranted(lease, now())));
    unused = timers.every(TICK_INTERVAL, this::tick);
    apply(dispatcher.instanceSeen(upstream.instance(), now()));
    apply(dispatcher.leaseGranted(lease, now()));
    unused =
        timers.after(
            INHERITED_REQUESTS_REPORT_DELAY,
            () -> apply(dispatcher.inheritedRequestsReported(0, now(), now())));
  }

  private void tick() {
    apply(dispatcher.tick(now()));
    health.tick(now()).forEach(this::execute);
  }

  private void apply(ImmutableList<DispatchAction> actions) {
    actions.forEach(this::execute);
  }

  private void execute(DispatchAction action) {
    switch (action) {
      case DispatchAction.Send send -> transmit(send);
      case DispatchAction.Refuse refuse ->
          reply(refuse.attempt(), CallerReply.of(refuse.outcome()));
      case DispatchAction.CancelAtUpstream cancel -> cancelAtUpstream(cancel.attempt());
      case DispatchAction.Report report -> {}
    }
  }

  private void execute(ConnectionAction action) {
    switch (action) {
      case ConnectionAction.Retire retire -> {
        retiredConnections++;
        close(retire.connection(), RefusalCode.ANSWER_OVERDUE);
      }
      case ConnectionAction.ProbeNewConnection probe -> probe();
      case ConnectionAction.DropAnswer drop -> droppedAnswers++;
    }
  }

  private void transmit(DispatchAction.Send send) {
    long attempt = send.attempt();
    boolean reuse = !idle.isEmpty();
    if (!reuse && !connections.tryOpenForRequest()) {
      complete(attempt, new AttemptResult.Refused(RefusalCode.CONNECT_FAILED), -1);
      return;
    }
    long connection = reuse ? idle.pop() : nextConnection++;
    Duration delay = reuse ? ZONE_HOP_LATENCY : ZONE_HOP_LATENCY.plus(CONNECT_TIME);
    CallerRequest request = pendingAttempts.get(attempt).request();
    attemptByConnection.put(connection, attempt);
    health.sent(connection, attempt, now(), send.deadline());
    timers.after(
        delay,
        () ->
            upstream.receive(
                connection,
                attempt,
                request,
                answer -> timers.after(ZONE_HOP_LATENCY, () -> handleAnswer(connection, answer))));
    timers.after(send.deadline(), () -> handleDeadline(connection, attempt));
  }

  private void handleAnswer(long connection, FakeUpstream.Answer answer) {
    ImmutableList<ConnectionAction> actions = health.answered(connection, answer.attempt(), now());
    if (!actions.isEmpty()) {
      actions.forEach(this::execute);
      return;
    }
    attemptByConnection.remove(connection);
    switch (answer.result()) {
      case AttemptResult.Failed failed -> {
        health.closed(connection);
        connections.closed();
      }
      case AttemptResult.Answered a -> idle.push(connection);
      case AttemptResult.Shed s -> idle.push(connection);
      case AttemptResult.Refused r -> idle.push(connection);
      case AttemptResult.Stopped s -> idle.push(connection);
    }
    complete(answer.attempt(), answer.result(), answer.requestNumber());
  }

  private void handleDeadline(long connection, long attempt) {
    if (attemptByConnection.getOrDefault(connection, 0L) == attempt) {
      health.closed(connection);
      close(connection, RefusalCode.ANSWER_OVERDUE);
    }
  }

  private void close(long connection, RefusalCode code) {
    health.closed(connection);
    connections.closed();
    Long attempt = attemptByConnection.remove(connection);
    if (attempt != null) {
      complete(attempt, new AttemptResult.Failed(code), -1);
    }
  }

  private void probe() {
    if (!connections.tryOpenForProbe()) {
      return;
    }
    long connection = nextConnection++;
    long attempt = nextProbeAttempt--;
    health.sent(connection, attempt, now(), PROBE_DEADLINE);
    timers.after(
        CONNECT_TIME.plus(ZONE_HOP_LATENCY.multipliedBy(2)),
        () -> handleProbeAnswer(connection, attempt));
  }

  private void handleProbeAnswer(long connection, long attempt) {
    health.answered(connection, attempt, now()).forEach(this::execute);
    idle.push(connection);
  }

  private void cancelAtUpstream(long attempt) {
    timers.after(
        ZONE_HOP_LATENCY,
        () -> {
          AttemptResult result = upstream.cancel(attempt);
          timers.after(ZONE_HOP_LATENCY, () -> apply(dispatcher.completed(attempt, result, now())));
        });
  }

  private void complete(long attempt, AttemptResult result, long answeredRequestNumber) {
    switch (result) {
      case AttemptResult.Answered answered ->
          reply(attempt, CallerReply.answer(answeredRequestNumber));
      case AttemptResult.Shed shed -> reply(attempt, notRun(RefusalCode.UPSTREAM_SHED));
      case AttemptResult.Refused refused -> reply(attempt, notRun(refused.code()));
      case AttemptResult.Failed failed ->
          reply(attempt, CallerReply.of(Outcome.unknown(failed.code())));
      case AttemptResult.Stopped stopped ->
          reply(attempt, CallerReply.of(Outcome.unknown(RefusalCode.ANSWER_OVERDUE)));
    }
    apply(dispatcher.completed(attempt, result, now()));
  }

  private void reply(long attempt, CallerReply reply) {
    PendingAttempt request = pendingAttempts.remove(attempt);
    if (request != null) {
      request.reply().accept(reply);
    }
  }

  private static CallerReply notRun(RefusalCode code) {
    return CallerReply.of(Outcome.notRun(code, Duration.ZERO));
  }

  private long now() {
    return timers.nowNanos();
  }
}
