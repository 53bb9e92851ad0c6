package org.catkinlift.gateway.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.catkinlift.admission.AdmissionPolicy;
import org.catkinlift.admission.UpstreamQueue;
import org.catkinlift.routes.RequestKind;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * This daemon's way to one life of one upstream: the requests that wait for it, those that are
 * there, and its connections. Confined to the traffic thread.
 */
final class UpstreamPool {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration MIN_CONNECT_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_CONNECT_BACKOFF = Duration.ofMillis(800);

  /** An upstream that works but has answered nothing for so long counts as silent. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1_200);

  private static final Duration SILENT_PROBE_INTERVAL = Duration.ofMillis(400);

  /**
   * A request that must not be executed twice gets a connection that was used this recently, or a
   * new one: an upstream may have forgotten an idle connection.
   */
  private static final Duration MAX_IDLE_NON_IDEMPOTENT = Duration.ofMillis(1_500);

  /**
   * A caller that an overloaded upstream cannot take comes back after about this part of its time.
   */
  private static final int OVERLOAD_RETRY_DIVISOR = 4;

  /** Closing resets the connection and discards what was not delivered. */
  private static final int DISCARD_ON_CLOSE = 0;

  private final ReverseProxy proxy;
  private final UpstreamQueue<ProxyExchange> queue;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

  private UpstreamRecord upstream;
  private boolean dispatchScheduled;
  private int connectFailures;
  private long connectBackoffUntilNanos;
  private long silentSinceNanos;
  private long nextProbeNanos;
  private boolean retired;
  private boolean addressReassigned;

  UpstreamPool(ReverseProxy proxy, UpstreamRecord upstream, long nowNanos) {
    this.proxy = proxy;
    this.upstream = upstream;
    this.queue = new UpstreamQueue<>(upstream.concurrencyLimit(), nowNanos);
  }

  UpstreamRecord upstream() {
    return upstream;
  }

  int queued() {
    return queue.waiting();
  }

  /** Takes what the upstream states about itself now. */
  void update(UpstreamRecord next, double coldRequestsPerSecond, int daemons, long nowNanos) {
    upstream = next;
    if (next.remainingColdTime().isZero() || coldRequestsPerSecond <= 0) {
      return;
    }
    long warmAtNanos = nowNanos + next.remainingColdTime().toNanos();
    queue.markCold(coldRequestsPerSecond, daemons, proxy.random(), warmAtNanos, nowNanos);
  }

  boolean isCold(long nowNanos) {
    return queue.isCold(nowNanos);
  }

  /** Tells whether requests that can go elsewhere should. */
  boolean isSuspect(long nowNanos) {
    return addressReassigned || nowNanos < connectBackoffUntilNanos || isSilent(nowNanos);
  }

  private boolean isSilent(long nowNanos) {
    return queue.inFlight() > 0 && nowNanos - silentSinceNanos > SILENCE_TIMEOUT.toNanos();
  }

  /** Returns how long a request sent now is expected to take. */
  long expectedNanos(long nowNanos) {
    return queue.expectedNanos(typicalServiceNanos(), nowNanos);
  }

  private long typicalServiceNanos() {
    return proxy.measurements().typicalServiceNanos(upstream.service());
  }

  /** Takes a request; it is sent, waits or is rejected. */
  void offer(ProxyExchange exchange) {
    long now = System.nanoTime();
    if (addressReassigned) {
      exchange.notSent("another upstream has the address");
      return;
    }
    if (retired || now < connectBackoffUntilNanos || (isSilent(now) && now < nextProbeNanos)) {
      exchange.notSent("upstream does not answer");
      return;
    }
    if (isSilent(now)) {
      nextProbeNanos = now + SILENT_PROBE_INTERVAL.toNanos();
    }
    if (exchange.isFirstTry() && !proxy.admits(upstream, exchange.urgency().priority())) {
      long remainingNanos = exchange.urgency().deadlineNanos() - now;
      exchange.rejected(
          "overloaded upstream",
          AdmissionPolicy.retryAfter(
              remainingNanos / OVERLOAD_RETRY_DIVISOR, remainingNanos, proxy.random()),
          0);
      return;
    }
    long waitNanos = queue.waitNanos(exchange.urgency(), typicalServiceNanos(), now);
    switch (queue.offer(exchange, exchange.urgency(), typicalServiceNanos(), proxy.random(), now)) {
      case AdmissionPolicy.Decision.Admit admit -> dispatchQueued();
      case AdmissionPolicy.Decision.Reject reject ->
          exchange.rejected("queue", reject.retryAfter(), waitNanos);
    }
  }

  private void dispatchQueued() {
    long now = System.nanoTime();
    if (now < connectBackoffUntilNanos) {
      return;
    }
    Optional<ProxyExchange> next = queue.takeNext(typicalServiceNanos(), now);
    while (next.isPresent()) {
      dispatch(next.get());
      next = queue.takeNext(typicalServiceNanos(), System.nanoTime());
    }
    long delayNanos = queue.nanosUntilNext(now);
    if (delayNanos > 0) {
      scheduleDispatch(delayNanos);
    }
  }

  private void scheduleDispatch(long delayNanos) {
    if (dispatchScheduled) {
      return;
    }
    dispatchScheduled = true;
    proxy.after(
        delayNanos,
        () -> {
          dispatchScheduled = false;
          dispatchQueued();
        });
  }

  /** Removes a request that waits no longer. */
  boolean removeQueued(ProxyExchange exchange) {
    return queue.remove(exchange);
  }

  private void dispatch(ProxyExchange exchange) {
    if (queue.inFlight() == 1) {
      silentSinceNanos = System.nanoTime();
    }
    UpstreamConnection connection = takeIdle(exchange.kind());
    if (connection != null) {
      exchange.connected(this, connection);
      return;
    }
    connect(exchange);
  }

  private UpstreamConnection takeIdle(RequestKind kind) {
    long now = System.nanoTime();
    long maxIdleNanos = kind.isIdempotent() ? Long.MAX_VALUE : MAX_IDLE_NON_IDEMPOTENT.toNanos();
    while (!idle.isEmpty()) {
      UpstreamConnection connection = idle.peek();
      if (!connection.isUsable(now, Long.MAX_VALUE)) {
        idle.pop();
        connection.close();
      } else if (!connection.isUsable(now, maxIdleNanos)) {
        return null;
      } else {
        return idle.pop();
      }
    }
    return null;
  }

  private void connect(ProxyExchange exchange) {
    var connection = new UpstreamConnection(this, proxy.settings().headers());
    exchange.connecting(this);
    proxy.metrics().connectionOpened(upstream.service());
    ChannelFuture connected =
        new Bootstrap()
            .group(proxy.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
            .option(ChannelOption.TCP_NODELAY, true)
            // A request that was given up must not arrive once a partition has healed.
            .option(ChannelOption.SO_LINGER, DISCARD_ON_CLOSE)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(connection.decoder(), new HttpRequestEncoder(), connection);
                  }
                })
            .connect(upstream.address().ip(), upstream.address().port());
    connected.addListener(
        c -> {
          if (c.isSuccess()) {
            connectFailures = 0;
            connectSucceeded(exchange, connection);
          } else {
            connectFailed(exchange, c.cause());
          }
        });
  }

  private void connectSucceeded(ProxyExchange exchange, UpstreamConnection connection) {
    if (exchange.isConnecting(this)) {
      exchange.connected(this, connection);
      return;
    }
    queue.requestEnded();
    connection.markIdle();
    idle.push(connection);
    dispatchQueued();
  }

  private void connectFailed(ProxyExchange exchange, Throwable cause) {
    queue.requestEnded();
    connectFailures++;
    long backoffNanos = MIN_CONNECT_BACKOFF.toNanos() << Math.min(connectFailures - 1, 3);
    connectBackoffUntilNanos =
        System.nanoTime() + Math.min(backoffNanos, MAX_CONNECT_BACKOFF.toNanos());
    proxy.upstreamFailed(upstream, "connect", String.valueOf(cause.getMessage()));
    if (exchange.isConnecting(this)) {
      exchange.notSent("connect failed");
    }
    queue.takeAll().forEach(f -> f.notSent("connect failed"));
  }

  /** Takes the load that came with the head of an answer. */
  void responseStarted(HttpHeaders headers) {
    silentSinceNanos = System.nanoTime();
    LoadHeader.parse(headers.get(proxy.settings().headers().load()))
        .ifPresent(reported -> queue.loadReported(reported, System.nanoTime()));
  }

  /** Tells whether requests wait at the upstream, as far as its last answer said. */
  boolean hasUpstreamQueue() {
    return queue.hasUpstreamQueue(System.nanoTime());
  }

  /** Takes that the upstream turned a request away for lack of room. */
  void upstreamFull() {
    queue.upstreamFull();
  }

  /**
   * Takes that another upstream answers at the address, so that this one has ended. Nothing more is
   * sent there until the list of upstreams says otherwise; it would only be turned away.
   */
  void addressReassigned() {
    addressReassigned = true;
    queue.takeAll().forEach(f -> f.notSent("another upstream has the address"));
  }

  void responseMismatched(String receivedId, ProxyExchange exchange) {
    proxy.responseMismatched(upstream, receivedId, exchange.request().id());
  }

  /** Takes that a request on a connection has ended. */
  void responseCompleted(UpstreamConnection connection, boolean reusable) {
    queue.requestEnded();
    if (reusable && !retired) {
      idle.push(connection);
    } else {
      connection.closeAfterResponse();
    }
    dispatchQueued();
  }

  /** Takes that a connection has closed. */
  void connectionClosed(UpstreamConnection connection, boolean hadRequest) {
    idle.remove(connection);
    if (hadRequest) {
      queue.requestEnded();
      dispatchQueued();
    }
  }

  /** Takes that a request was given up while it was at the upstream. */
  void requestAbandoned(UpstreamConnection connection) {
    connection.abandon();
    queue.requestEnded();
    dispatchQueued();
  }

  /** Ends this way, because the upstream has gone or begun another life. */
  void retire() {
    retired = true;
    idle.forEach(UpstreamConnection::close);
    idle.clear();
    queue.takeAll().forEach(f -> f.notSent("upstream has left"));
  }

  /** Moves the waiting requests elsewhere, because the upstream leaves. */
  void drainQueue() {
    queue.takeAll().forEach(f -> f.notSent("upstream leaves"));
  }

  /** Closes connections that are too old to be used again. */
  void closeExpiredConnections(long nowNanos) {
    idle.removeIf(
        c -> {
          boolean expired = !c.isUsable(nowNanos, Long.MAX_VALUE);
          if (expired) {
            c.close();
          }
          return expired;
        });
  }
}
