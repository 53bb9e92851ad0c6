package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;

/** Delivers the calls of hosts to upstreams: in time, late, or not at all. */
final class SimulatedNetwork {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
  private static final Duration MIN_QUEUE_TIME = Duration.ZERO;
  private static final Duration MAX_QUEUE_TIME = Duration.ofSeconds(12);

  private static final Duration MAX_COPY_DELAY = Duration.ofSeconds(2);

  private static final GrantResult NOT_SENT = new GrantResult.NotSent("not connected");

  private final SimulationEnvironment environment;
  private final ImmutableList<SimulatedUpstream> upstreams;
  private final Map<Link, Long> cutUntilNanos = new HashMap<>();
  private final Map<Link, Long> slowUntilNanos = new HashMap<>();
  private final Map<Link, SimulatedConnection> lastConnections = new HashMap<>();
  private boolean keepsConnections;

  /**
   * The path from a host to an upstream.
   *
   * @param host the host
   * @param upstream the address of the upstream
   */
  private record Link(SimulatedHost host, NetworkAddress upstream) {}

  /** Takes a call at the process that it has arrived at. */
  interface CallHandler {
    /** Returns what applies the call, now or after it has waited. */
    CallApplication arrived(UpstreamProcess process, long arrivedNanos);
  }

  /**
   * A call to an upstream.
   *
   * @param sent the call as an event
   * @param to the holder that it is meant for
   * @param timeout the time from the connection until a call without an answer is reset
   * @param resultAtOtherUpstream the result if another upstream answers at the address
   * @param handler applies the call
   */
  record Call(
      SimulationEvent.CallSent sent,
      Holder to,
      Duration timeout,
      GrantResult resultAtOtherUpstream,
      CallHandler handler) {}

  SimulatedNetwork(SimulationEnvironment environment, ImmutableList<SimulatedUpstream> upstreams) {
    this.environment = environment;
    this.upstreams = upstreams;
  }

  /** Makes hosts send calls on the connections of earlier calls, which the daemon does not. */
  void keepConnections() {
    keepsConnections = true;
  }

  /** Drops everything that a host sends to an upstream for some time. */
  void cut(SimulatedHost host, SimulatedUpstream upstream, Duration length) {
    var link = new Link(host, upstream.address());
    cutUntilNanos.merge(link, environment.nowNanos() + length.toNanos(), Math::max);
  }

  /** Delays everything that a host sends to an upstream for some time. */
  void slow(SimulatedHost host, SimulatedUpstream upstream, Duration length) {
    var link = new Link(host, upstream.address());
    slowUntilNanos.merge(link, environment.nowNanos() + length.toNanos(), Math::max);
  }

  /**
   * Sends a call.
   *
   * @param from the sender
   * @param call the call
   * @param callback receives the result at the sender
   */
  void send(SimulatedHost from, Call call, Consumer<GrantResult> callback) {
    if (!from.holdsRole()) {
      callback.accept(NOT_SENT);
      return;
    }
    Optional<SimulatedConnection> idle = idleConnection(from, call);
    if (idle.isPresent()) {
      exchange(from, call, reportTo(from, callback), idle.get(), environment.nowNanos());
      return;
    }
    long startNanos = from.nanos();
    Duration connectDelay = delayUpTo(CONNECT_TIMEOUT, from, call);
    // A sender that is suspended while the connection is established sends after its resumption.
    environment.after(
        connectDelay,
        from.ifUnchanged(() -> connected(from, call, reportTo(from, callback), startNanos)));
  }

  private Optional<SimulatedConnection> idleConnection(SimulatedHost from, Call call) {
    return Optional.ofNullable(lastConnections.get(new Link(from, call.to().address())))
        .filter(SimulatedConnection::isIdle)
        .filter(c -> processAt(call.to().address()).filter(c::isOpenTo).isPresent());
  }

  private Consumer<GrantResult> reportTo(SimulatedHost from, Consumer<GrantResult> callback) {
    return result -> from.runIfUp(() -> callback.accept(result));
  }

  private Duration delayUpTo(Duration max, SimulatedHost from, Call call) {
    return environment.nextIsFaulty() || isAffected(slowUntilNanos, from, call)
        ? environment.delayBetween(Duration.ZERO, max)
        : environment.usualDelay();
  }

  private void connected(
      SimulatedHost from, Call call, Consumer<GrantResult> report, long startNanos) {
    Duration connectDelay = Duration.ofNanos(from.nanos() - startNanos);
    if (connectDelay.compareTo(CONNECT_TIMEOUT) > 0 || !from.holdsRole()) {
      report.accept(NOT_SENT);
      return;
    }
    if (isCut(from, call)) {
      environment.after(CONNECT_TIMEOUT.minus(connectDelay), () -> report.accept(NOT_SENT));
      return;
    }
    Optional<UpstreamProcess> process = processAt(call.to().address());
    if (process.isEmpty()) {
      report.accept(NOT_SENT);
      return;
    }
    var connection = new SimulatedConnection(process.get(), keepsConnections);
    if (keepsConnections) {
      lastConnections.put(new Link(from, call.to().address()), connection);
    }
    exchange(from, call, report, connection, environment.nowNanos() - connectDelay.toNanos());
  }

  private void exchange(
      SimulatedHost from,
      Call call,
      Consumer<GrantResult> report,
      SimulatedConnection connection,
      long sentNanos) {
    var exchange = new Exchange(call, report, connection, sentNanos);
    connection.callStarted(exchange::answered);
    environment.after(call.timeout(), exchange::giveUp);
    if (!isLost()) {
      environment.after(delayUpTo(call.timeout(), from, call), () -> arrived(from, exchange));
    }
  }

  private boolean isLost() {
    return environment.nextIsFaulty() && environment.random().nextBoolean();
  }

  private boolean isCut(SimulatedHost from, Call call) {
    return isAffected(cutUntilNanos, from, call);
  }

  private boolean isAffected(Map<Link, Long> untilNanos, SimulatedHost from, Call call) {
    var link = new Link(from, call.to().address());
    return environment.nowNanos() < untilNanos.getOrDefault(link, 0L);
  }

  private Optional<UpstreamProcess> processAt(NetworkAddress address) {
    return upstreams.stream()
        .filter(u -> u.address().equals(address))
        .flatMap(u -> u.process().stream())
        .findFirst();
  }

  private boolean isRunning(UpstreamProcess process) {
    return upstreams.stream().anyMatch(u -> u.isRunning(process));
  }

  /** Delivers a call to the process that is up, which need not be the one that it is meant for. */
  private void arrived(SimulatedHost from, Exchange exchange) {
    Call call = exchange.call;
    Optional<UpstreamProcess> process = processAt(call.to().address());
    if (process.isEmpty() || isCut(from, call) || !exchange.connection.isOpenTo(process.get())) {
      return;
    }
    UpstreamId expected = call.to().upstream();
    if (!process.get().id().equals(expected)) {
      answer(from, exchange, new SimulatedConnection.Response(call.resultAtOtherUpstream(), true));
      return;
    }
    long arrivedNanos = environment.nowNanos();
    Duration queueTime =
        environment.nextIsFaulty()
            ? environment.delayBetween(MIN_QUEUE_TIME, MAX_QUEUE_TIME)
            : Duration.ZERO;
    CallApplication application = call.handler().arrived(process.get(), arrivedNanos);
    environment.after(
        queueTime, () -> apply(from, exchange, process.get(), arrivedNanos, application));
  }

  /** Applies a call. A call that is queued ends with the process. */
  private void apply(
      SimulatedHost from,
      Exchange exchange,
      UpstreamProcess process,
      long arrivedNanos,
      CallApplication application) {
    if (isRunning(process)) {
      application.apply(result -> applied(from, exchange, process, arrivedNanos, result));
    }
  }

  private void applied(
      SimulatedHost from,
      Exchange exchange,
      UpstreamProcess process,
      long arrivedNanos,
      GrantResult result) {
    if (!isRunning(process)) {
      environment.after(environment.usualDelay(), exchange::giveUp);
      return;
    }
    environment.record(
        new SimulationEvent.CallApplied(
            process, exchange.call.sent(), exchange.sentNanos, arrivedNanos, result));
    answer(from, exchange, new SimulatedConnection.Response(result, false));
  }

  private void answer(
      SimulatedHost from, Exchange exchange, SimulatedConnection.Response response) {
    if (!environment.nextIsFaulty() && !isCut(from, exchange.call)) {
      Duration delay = delayUpTo(exchange.call.timeout(), from, exchange.call);
      environment.after(delay, () -> exchange.connection.received(response));
      if (environment.behavior().answersTwice() && environment.nextIsFaulty()) {
        sendCopy(exchange, response, delay);
      }
    }
  }

  /** Sends a second copy of an answer. */
  private void sendCopy(
      Exchange exchange, SimulatedConnection.Response response, Duration firstDelay) {
    Duration delay = firstDelay.plus(environment.delayBetween(Duration.ZERO, MAX_COPY_DELAY));
    environment.after(delay, () -> exchange.connection.received(response));
  }

  /** A call on its connection, which reports the first of its results. */
  private static final class Exchange {
    private final Call call;
    private final Consumer<GrantResult> report;
    private final SimulatedConnection connection;
    private final long sentNanos;
    private boolean ended;

    private Exchange(
        Call call, Consumer<GrantResult> report, SimulatedConnection connection, long sentNanos) {
      this.call = call;
      this.report = report;
      this.connection = connection;
      this.sentNanos = sentNanos;
    }

    private void answered(SimulatedConnection.Response response) {
      GrantResult result =
          response.isFromOtherUpstream() ? call.resultAtOtherUpstream() : response.result();
      end(result);
    }

    private void giveUp() {
      if (ended) {
        return;
      }
      connection.close();
      end(new GrantResult.Unanswered("timeout"));
    }

    private void end(GrantResult result) {
      if (!ended) {
        ended = true;
        report.accept(result);
      }
    }
  }
}
