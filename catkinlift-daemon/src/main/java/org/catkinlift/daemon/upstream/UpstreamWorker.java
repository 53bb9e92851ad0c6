package org.catkinlift.daemon.upstream;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Vertx;
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
import org.catkinlift.daemon.relay.EntryEnd;
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
 * Carries out the decisions of one {@link UpstreamDispatcher}: sends requests to the upstream and
 * reports how they ended. Confined to one event loop.
 */
final class UpstreamWorker {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  /** By then every request that the previous dispatcher sent has started or never will. */
  private static final Duration EARLIER_WORK_ASKED_AFTER = Duration.ofMillis(510);

  private static final Duration EARLIER_WORK_ASKED_AGAIN_AFTER = Duration.ofMillis(100);

  /** Several load reports and heartbeats, so that a lost one does no harm. */
  private static final Duration RELEASE_STATED_FOR = Duration.ofSeconds(2);

  /** Attempt numbers of probes are negative, so that they never meet those of requests. */
  private static final long FIRST_PROBE = -1;

  private final Vertx vertx;
  private final UpstreamDefinition upstream;
  private final HostId self;
  private final EventSink events;
  private final HttpClientAgent client;
  private final UpstreamDispatcher dispatcher;
  private final ConnectionHealth health = new ConnectionHealth();
  private final Map<Long, UpstreamExchange> exchanges = new HashMap<>();
  private final Map<HttpConnection, Long> numbers = new HashMap<>();
  private long lastConnection;
  private long nextProbe = FIRST_PROBE;
  private boolean earlierWorkAsked;
  private boolean closed;
  private long heldAtNanos = System.nanoTime();

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
        vertx.createHttpClient(
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

  /** Takes an attempt. */
  UpstreamExchange open(long attempt, RelayHead head, EntryEnd entry) {
    var exchange = new UpstreamExchange(this, attempt, head, entry);
    exchanges.put(attempt, exchange);
    execute(
        dispatcher.offer(attempt, head.request(), head.slot(), head.epoch(), System.nanoTime()));
    return exchange;
  }

  void leaseGranted(DispatchLease lease, long atNanos) {
    heldAtNanos = System.nanoTime();
    execute(dispatcher.leaseGranted(lease, atNanos));
    if (!earlierWorkAsked) {
      earlierWorkAsked = true;
      vertx.setTimer(EARLIER_WORK_ASKED_AFTER.toMillis(), t -> askEarlierWork());
    }
  }

  void leaseLost() {
    earlierWorkAsked = false;
    execute(dispatcher.leaseLost(System.nanoTime()));
  }

  void leaseGivenUp(Epoch epoch) {
    earlierWorkAsked = false;
    execute(dispatcher.leaseReleased(epoch, System.nanoTime()));
  }

  /** Tells whether nothing runs and the coordinator has had time to learn that. */
  boolean isFinished() {
    return isIdle() && System.nanoTime() - heldAtNanos > RELEASE_STATED_FOR.toNanos();
  }

  /** Asks the upstream how much it still executes for the previous dispatcher. */
  private void askEarlierWork() {
    if (closed) {
      return;
    }
    long askedNanos = System.nanoTime();
    client
        .request(controlOptions(HttpMethod.GET, "/_upstream/load"))
        .compose(HttpClientRequest::send)
        .compose(HttpClientResponse::body)
        .onSuccess(body -> earlierWorkAnswered(UpstreamLoadReport.read(body), askedNanos));
  }

  private void earlierWorkAnswered(Optional<UpstreamLoadReport> report, long askedNanos) {
    long now = System.nanoTime();
    int own = dispatcher.load(now).inFlight();
    int earlier = report.map(r -> Math.max(0, r.running() + r.waiting() - own)).orElse(0);
    if (report.isPresent()) {
      execute(dispatcher.inheritedRequestsReported(earlier, askedNanos, now));
    }
    if (report.isEmpty() || earlier > 0 || dispatcher.mayHaveInheritedRequests(now)) {
      vertx.setTimer(EARLIER_WORK_ASKED_AGAIN_AFTER.toMillis(), t -> askEarlierWork());
    }
  }

  void instanceSeen(String instance) {
    execute(dispatcher.instanceSeen(instance, System.nanoTime()));
  }

  void tick() {
    long now = System.nanoTime();
    execute(dispatcher.tick(now));
    health.tick(now).forEach(this::execute);
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

  /** Tells whether an answer belongs to its exchange; drops the connection of one that does not. */
  boolean accepts(UpstreamExchange exchange, HttpClientResponse answer) {
    String answered = answer.getHeader(Headers.REQUEST_ID);
    boolean crossed = answered != null && !answered.equals(exchange.head().request().id().value());
    long attempt = crossed ? -exchange.attempt() : exchange.attempt();
    ImmutableList<ConnectionAction> actions =
        health.answered(exchange.connection(), attempt, System.nanoTime());
    actions.forEach(this::execute);
    return actions.isEmpty();
  }

  void answered(UpstreamExchange exchange, String instance) {
    Duration latency = Duration.ofNanos(System.nanoTime() - exchange.sentNanos());
    ended(exchange, new AttemptResult.Answered(latency, Optional.ofNullable(instance).orElse("")));
  }

  void ended(UpstreamExchange exchange, AttemptResult result) {
    exchanges.remove(exchange.attempt());
    execute(dispatcher.completed(exchange.attempt(), result, System.nanoTime()));
  }

  /** Ends an attempt whose caller has gone. */
  void cancelled(UpstreamExchange exchange) {
    exchanges.remove(exchange.attempt());
    health.abandoned(exchange.connection(), exchange.attempt());
    ImmutableList<DispatchAction> actions =
        dispatcher.cancelled(exchange.attempt(), System.nanoTime());
    boolean sent = exchange.wasSent();
    exchange.drop();
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
            failure -> exchange.failed(RefusalCode.CONNECT_FAILED));
  }

  /** The wait for a connection counts, because the lease was checked before it. */
  private void connected(
      UpstreamExchange exchange, HttpClientRequest request, long startBefore, long deadline) {
    long now = System.nanoTime();
    if (now >= startBefore) {
      var unused = request.reset();
      exchange.failed(now >= deadline ? RefusalCode.DEADLINE_PASSED : RefusalCode.CONNECT_FAILED);
      return;
    }
    request.putHeader(
        Headers.START_BEFORE, Long.toString(Duration.ofNanos(startBefore - now).toMillis()));
    long connection = numberOf(request.connection());
    health.sent(connection, exchange.attempt(), now, Duration.ofNanos(deadline - now));
    request.idleTimeout(Duration.ofNanos(deadline - now).toMillis() + 1);
    exchange.send(request, connection, now);
  }

  private long numberOf(HttpConnection connection) {
    Long known = numbers.get(connection);
    if (known != null) {
      return known;
    }
    long number = ++lastConnection;
    numbers.put(connection, number);
    health.opened(number, System.nanoTime());
    connection.closeHandler(
        closed -> {
          numbers.remove(connection);
          health.closed(number);
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
        .compose(HttpClientRequest::send)
        .onSuccess(answer -> cancellationAnswered(exchange, answer));
  }

  private void cancellationAnswered(UpstreamExchange exchange, HttpClientResponse answer) {
    if (answer.statusCode() >= 300) {
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
    for (Map.Entry<HttpConnection, Long> entry : ImmutableList.copyOf(numbers.entrySet())) {
      if (entry.getValue() == number) {
        var unused = entry.getKey().close();
      }
    }
  }

  private void probe() {
    long attempt = nextProbe--;
    client
        .request(controlOptions(HttpMethod.GET, "/_upstream/health"))
        .onSuccess(
            request -> {
              long connection = numberOf(request.connection());
              health.sent(connection, attempt, System.nanoTime(), CONNECT_TIMEOUT);
              request
                  .send()
                  .onSuccess(
                      answer ->
                          health
                              .answered(connection, attempt, System.nanoTime())
                              .forEach(this::execute));
            });
  }

  /** Ends what is left when the daemon stops; what was sent may have run. */
  void abort() {
    ImmutableList.copyOf(exchanges.values()).forEach(e -> e.failed(RefusalCode.STOPPING));
  }
}
