package org.catkinlift.daemon.upstream;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.connections.ConnectionAction;
import org.catkinlift.connections.ConnectionHealth;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.daemon.EventSink;
import org.catkinlift.daemon.http.Headers;
import org.catkinlift.daemon.http.HttpClients;
import org.catkinlift.daemon.http.ShortExchange;
import org.catkinlift.daemon.relay.AttemptListener;
import org.catkinlift.daemon.settings.LimitSettings;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.limits.DispatchAction;
import org.catkinlift.limits.UpstreamDispatcher;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.protocol.RelayHead;

/**
 * Executes the decisions of one {@link UpstreamDispatcher}: sends requests to the upstream and
 * reports their results back to it. Confined to one event loop.
 */
final class UpstreamWorker {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  /**
   * After this time each request that the previous dispatcher sent has started or will never start.
   */
  private static final Duration INHERITED_LOAD_QUERY_DELAY = Duration.ofMillis(510);

  private static final Duration INHERITED_LOAD_REQUERY_DELAY = Duration.ofMillis(100);

  /** Covers several load reports and heartbeats, so that losing one of them does no harm. */
  private static final Duration RELEASE_REPORT_PERIOD = Duration.ofSeconds(2);

  private static final int MAX_CONTROL_REPLY_BYTES = 64 << 10;

  /** Probes have negative numbers, so that they never collide with attempt numbers. */
  private static final long FIRST_PROBE_NUMBER = -1;

  private final Vertx vertx;
  private final UpstreamDefinition upstream;
  private final HostId self;
  private final EventSink events;
  private final HttpClientAgent client;
  private final UpstreamDispatcher dispatcher;
  private final ConnectionHealth connectionHealth = new ConnectionHealth();
  private final Map<Long, UpstreamExchange> exchanges = new HashMap<>();
  private final Map<HttpConnection, Long> connectionNumbers = new HashMap<>();
  private long lastConnectionNumber;
  private long nextProbeNumber = FIRST_PROBE_NUMBER;
  private boolean inheritedLoadQueried;
  private boolean closed;
  private long leaseLastHeldNanos = System.nanoTime();

  UpstreamWorker(
      Vertx vertx,
      UpstreamDefinition upstream,
      HostId self,
      LimitSettings limits,
      EventSink events) {
    this.vertx = vertx;
    this.upstream = upstream;
    this.self = self;
    this.events = events;
    this.dispatcher =
        new UpstreamDispatcher(
            upstream.id(),
            self,
            upstream.concurrencyLimit(),
            limits.queueFactor(),
            System.nanoTime());
    this.client =
        HttpClients.create(
            vertx,
            new HttpClientOptions()
                .setDefaultHost(upstream.address().ip())
                .setDefaultPort(upstream.address().port())
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setKeepAliveTimeout((int) limits.upstreamIdleTimeout().toSeconds())
                .setDecompressionSupported(false),
            new PoolOptions().setHttp1MaxSize(upstream.connectionLimit()));
  }

  UpstreamDefinition upstream() {
    return upstream;
  }

  Duration retryAfter() {
    return RETRY_AFTER;
  }

  /** Opens an attempt. */
  UpstreamExchange open(long attempt, RelayHead head, AttemptListener listener) {
    var exchange = new UpstreamExchange(this, attempt, head, listener);
    exchanges.put(attempt, exchange);
    execute(
        dispatcher.offer(attempt, head.request(), head.slot(), head.epoch(), System.nanoTime()));
    return exchange;
  }

  void leaseGranted(DispatchLease lease, long atNanos) {
    leaseLastHeldNanos = System.nanoTime();
    execute(dispatcher.leaseGranted(lease, atNanos));
    if (!inheritedLoadQueried) {
      inheritedLoadQueried = true;
      vertx.setTimer(INHERITED_LOAD_QUERY_DELAY.toMillis(), t -> queryInheritedLoad());
    }
  }

  void leaseLost() {
    inheritedLoadQueried = false;
    execute(dispatcher.leaseLost(System.nanoTime()));
  }

  void leaseReleased(Epoch epoch) {
    inheritedLoadQueried = false;
    execute(dispatcher.leaseReleased(epoch, System.nanoTime()));
  }

  /**
   * Returns whether no attempt is open and the coordinator has had time to receive a report of
   * that.
   */
  boolean isFinished() {
    return isIdle() && System.nanoTime() - leaseLastHeldNanos > RELEASE_REPORT_PERIOD.toNanos();
  }

  /**
   * Queries the upstream's load, to find how many requests of the previous dispatcher it still
   * executes.
   */
  private void queryInheritedLoad() {
    if (closed) {
      return;
    }
    long queriedNanos = System.nanoTime();
    client
        .request(controlOptions(HttpMethod.GET, "/_upstream/load"))
        .compose(UpstreamWorker::sendControl)
        .onSuccess(r -> inheritedLoadReceived(UpstreamLoadReport.read(r.body()), queriedNanos));
  }

  private void inheritedLoadReceived(Optional<UpstreamLoadReport> report, long queriedNanos) {
    long now = System.nanoTime();
    int ownRequests = dispatcher.load(now).inFlight();
    int inherited = report.map(r -> Math.max(0, r.running() + r.waiting() - ownRequests)).orElse(0);
    if (report.isPresent()) {
      execute(dispatcher.inheritedRequestsReported(inherited, queriedNanos, now));
    }
    if (report.isEmpty() || inherited > 0 || dispatcher.mayHaveInheritedRequests(now)) {
      vertx.setTimer(INHERITED_LOAD_REQUERY_DELAY.toMillis(), t -> queryInheritedLoad());
    }
  }

  void instanceSeen(String instance) {
    execute(dispatcher.instanceSeen(instance, System.nanoTime()));
  }

  void tick() {
    long now = System.nanoTime();
    execute(dispatcher.tick(now));
    connectionHealth.tick(now).forEach(this::execute);
  }

  UpstreamLoad load() {
    return dispatcher.load(System.nanoTime());
  }

  boolean isIdle() {
    return exchanges.isEmpty();
  }

  void close() {
    closed = true;
    var unused = client.close();
  }

  /** Returns whether a response belongs to its exchange; retires the connection if it does not. */
  boolean acceptsResponse(UpstreamExchange exchange, HttpClientResponse response) {
    String responseRequestId = response.getHeader(Headers.REQUEST_ID);
    boolean mismatched =
        responseRequestId != null
            && !responseRequestId.equals(exchange.head().request().id().value());
    long attempt = mismatched ? -exchange.attempt() : exchange.attempt();
    ImmutableList<ConnectionAction> actions =
        connectionHealth.answered(exchange.connection(), attempt, System.nanoTime());
    actions.forEach(this::execute);
    return actions.isEmpty();
  }

  void responseCompleted(UpstreamExchange exchange, String instance) {
    Duration latency = Duration.ofNanos(System.nanoTime() - exchange.sentNanos());
    attemptEnded(
        exchange, new AttemptResult.Answered(latency, Optional.ofNullable(instance).orElse("")));
  }

  void attemptEnded(UpstreamExchange exchange, AttemptResult result) {
    exchanges.remove(exchange.attempt());
    execute(dispatcher.completed(exchange.attempt(), result, System.nanoTime()));
  }

  /** Ends an attempt that the caller side cancelled. */
  void cancelled(UpstreamExchange exchange) {
    exchanges.remove(exchange.attempt());
    connectionHealth.abandoned(exchange.connection(), exchange.attempt());
    ImmutableList<DispatchAction> actions =
        dispatcher.cancelled(exchange.attempt(), System.nanoTime());
    boolean sent = exchange.wasSent();
    exchange.abort();
    execute(actions);
    if (sent) {
      cancelAtUpstream(exchange);
    }
  }

  private void execute(ImmutableList<DispatchAction> actions) {
    actions.forEach(this::execute);
  }

  private void execute(DispatchAction action) {
    switch (action) {
      case DispatchAction.Send send -> send(send);
      case DispatchAction.Refuse refuse -> refuse(refuse);
      case DispatchAction.CancelAtUpstream cancel -> {
        UpstreamExchange exchange = exchanges.get(cancel.attempt());
        if (exchange != null) {
          cancelAtUpstream(exchange);
        }
      }
      case DispatchAction.Report report -> events.log(report.event());
    }
  }

  private void refuse(DispatchAction.Refuse refuse) {
    UpstreamExchange exchange = exchanges.remove(refuse.attempt());
    if (exchange != null) {
      exchange.refuse(refuse.outcome());
    }
  }

  private void send(DispatchAction.Send send) {
    UpstreamExchange exchange = exchanges.get(send.attempt());
    if (exchange == null) {
      return;
    }
    exchange.connecting();
    long now = System.nanoTime();
    long startBeforeNanos = now + send.startBefore().toNanos();
    long deadlineNanos = now + send.deadline().toNanos();
    client
        .request(requestOptions(exchange.head(), send))
        .onComplete(
            request -> connected(exchange, request, startBeforeNanos, deadlineNanos),
            failure -> exchange.fail(RefusalCode.CONNECT_FAILED));
  }

  /**
   * The time spent on acquiring a connection counts towards the start bound, because the lease was
   * checked before.
   */
  private void connected(
      UpstreamExchange exchange, HttpClientRequest request, long startBefore, long deadline) {
    long now = System.nanoTime();
    if (now >= startBefore) {
      var unused = request.reset();
      exchange.fail(now >= deadline ? RefusalCode.DEADLINE_PASSED : RefusalCode.CONNECT_FAILED);
      return;
    }
    request.putHeader(
        Headers.START_BEFORE, Long.toString(Duration.ofNanos(startBefore - now).toMillis()));
    long connection = connectionNumber(request.connection());
    connectionHealth.sent(connection, exchange.attempt(), now, Duration.ofNanos(deadline - now));
    request.idleTimeout(Duration.ofNanos(deadline - now).toMillis() + 1);
    exchange.send(request, connection, now);
  }

  private long connectionNumber(HttpConnection connection) {
    Long known = connectionNumbers.get(connection);
    if (known != null) {
      return known;
    }
    long number = ++lastConnectionNumber;
    connectionNumbers.put(connection, number);
    connectionHealth.opened(number, System.nanoTime());
    connection.closeHandler(
        closed -> {
          connectionNumbers.remove(connection);
          connectionHealth.closed(number);
        });
    return number;
  }

  private RequestOptions requestOptions(RelayHead head, DispatchAction.Send send) {
    var options =
        new RequestOptions().setMethod(HttpMethod.valueOf(head.method())).setURI(head.target());
    head.headers().entries().forEach(h -> options.addHeader(h.getKey(), h.getValue()));
    if (head.hasBody() && !head.headers().containsKey("content-length")) {
      options.putHeader("transfer-encoding", "chunked");
    }
    options.putHeader(Headers.REQUEST_ID, head.request().id().value());
    options.putHeader(Headers.DISPATCHER, self.value());
    options.putHeader(Headers.SERVICE, head.request().service().value());
    options.putHeader(Headers.DEADLINE, Long.toString(send.deadline().toMillis()));
    if (head.slot() >= 0) {
      options.putHeader(Headers.SLOT, Integer.toString(head.slot()));
      options.putHeader(Headers.EPOCH, head.epoch().toString());
      options.putHeader(Headers.KEY, head.request().key());
    }
    return options;
  }

  private static RequestOptions controlOptions(HttpMethod method, String path) {
    return new RequestOptions()
        .setMethod(method)
        .setURI(path)
        .setTimeout(CONNECT_TIMEOUT.toMillis());
  }

  private void cancelAtUpstream(UpstreamExchange exchange) {
    String path = "/_upstream/requests/" + exchange.head().request().id().value();
    client
        .request(controlOptions(HttpMethod.DELETE, path))
        .compose(UpstreamWorker::sendControl)
        .onSuccess(response -> cancellationReplied(exchange, response));
  }

  private static Future<ShortExchange.Response> sendControl(HttpClientRequest request) {
    return ShortExchange.send(request, Buffer.buffer(), MAX_CONTROL_REPLY_BYTES, CONNECT_TIMEOUT);
  }

  private void cancellationReplied(UpstreamExchange exchange, ShortExchange.Response response) {
    if (response.status() >= 300) {
      return;
    }
    execute(
        dispatcher.completed(exchange.attempt(), new AttemptResult.Stopped(), System.nanoTime()));
  }

  private void execute(ConnectionAction action) {
    switch (action) {
      case ConnectionAction.Retire retire -> retire(retire.connection());
      case ConnectionAction.DropAnswer drop ->
          events.log(
              DecisionEvent.of(
                  EventCode.ANSWER_DROPPED,
                  "upstream",
                  upstream.id(),
                  "connection",
                  drop.connection()));
      case ConnectionAction.ProbeNewConnection probe -> probe();
    }
  }

  private void retire(long number) {
    events.log(
        DecisionEvent.of(
            EventCode.CONNECTION_RETIRED, "upstream", upstream.id(), "connection", number));
    for (Map.Entry<HttpConnection, Long> entry :
        ImmutableList.copyOf(connectionNumbers.entrySet())) {
      if (entry.getValue() == number) {
        var unused = entry.getKey().close();
      }
    }
  }

  private void probe() {
    long attempt = nextProbeNumber--;
    client
        .request(controlOptions(HttpMethod.GET, "/_upstream/health"))
        .onSuccess(
            request -> {
              long connection = connectionNumber(request.connection());
              connectionHealth.sent(connection, attempt, System.nanoTime(), CONNECT_TIMEOUT);
              sendControl(request)
                  .onSuccess(
                      response ->
                          connectionHealth
                              .answered(connection, attempt, System.nanoTime())
                              .forEach(this::execute));
            });
  }

  /**
   * Fails the remaining attempts when the daemon stops; those that were sent may have been
   * executed.
   */
  void abort() {
    ImmutableList.copyOf(exchanges.values()).forEach(e -> e.fail(RefusalCode.STOPPING));
  }
}
