package org.catkinlift.gateway.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import org.catkinlift.admission.AdmissionPolicy;
import org.catkinlift.admission.BodyBytesLimit;
import org.catkinlift.admission.SilencePolicy;
import org.catkinlift.admission.UpstreamQueue;
import org.catkinlift.timer.TimerService;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * The request queue and the connections of this daemon for one incarnation of one upstream.
 * Confined to the traffic thread.
 */
final class UpstreamPool {
  private static final Duration MIN_CONNECT_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_CONNECT_BACKOFF = Duration.ofMillis(800);

  private static final Duration SILENT_PROBE_INTERVAL = Duration.ofMillis(400);

  /**
   * The maximum idle time of a connection that is reused for a non-idempotent request. The upstream
   * may have dropped a connection that was idle for longer, and the request could not be retried.
   */
  private static final Duration MAX_IDLE_NON_IDEMPOTENT = Duration.ofMillis(1_500);

  /**
   * The retry delay after a rejection by an overloaded upstream is about the time to the deadline
   * divided by this.
   */
  private static final int OVERLOAD_RETRY_DIVISOR = 4;

  /** With SO_LINGER 0, closing resets the connection and discards undelivered data. */
  private static final int DISCARD_ON_CLOSE = 0;

  private final ReverseProxy proxy;
  private final UpstreamQueue<ProxyExchange> queue;
  private final BodyBytesLimit bodyBytes = new BodyBytesLimit();
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

  private UpstreamRecord upstream;
  private int openBodies;
  private boolean dispatchScheduled;
  private int connectFailures;
  private long connectBackoffUntilNanos;
  private long silentSinceNanos;
  private long nextProbeNanos;
  private OptionalLong cutOffNanos = OptionalLong.empty();
  private Optional<TimerService.Subscription> cutOffTimer = Optional.empty();
  private boolean retired;
  private boolean addressReassigned;
  private int daemons = 1;
  private boolean hasColdRate;
  private boolean announcedCold;
  private boolean unresponsive;

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

  /** Applies the current view of the upstream. */
  void update(UpstreamView view, double coldRequestsPerSecond, int daemons, long nowNanos) {
    UpstreamRecord next = view.upstream();
    upstream = next;
    updateCutOff(view.cutOffNanos(), nowNanos);
    this.daemons = daemons;
    hasColdRate = coldRequestsPerSecond > 0;
    boolean wasAnnouncedCold = announcedCold;
    announcedCold = !next.remainingColdTime().isZero();
    if (!announcedCold) {
      return;
    }
    if (hasColdRate) {
      long warmAtNanos = nowNanos + next.remainingColdTime().toNanos();
      queue.markCold(coldRequestsPerSecond, daemons, proxy.random(), warmAtNanos, nowNanos);
    } else if (!wasAnnouncedCold) {
      startRampUp("started");
    }
  }

  private void startRampUp(String cause) {
    queue.startRampUp(typicalServiceNanos(), daemons, proxy.random(), System.nanoTime());
    proxy.events().rampUpStarted(upstream, cause);
  }

  private void updateCutOff(OptionalLong next, long nowNanos) {
    if (next.equals(cutOffNanos)) {
      return;
    }
    cutOffNanos = next;
    cutOffTimer.ifPresent(TimerService.Subscription::cancel);
    cutOffTimer = Optional.empty();
    if (next.isPresent()) {
      cutOffTimer = Optional.of(proxy.after(next.getAsLong() - nowNanos, this::dispatchQueued));
    }
  }

  /**
   * Returns why nothing may be sent to the upstream any more. Checked when a request is sent, since
   * it may have waited in the queue or for a connection.
   */
  private Optional<String> sendingEnded(long nowNanos) {
    if (retired) {
      return Optional.of("upstream has left");
    }
    if (addressReassigned) {
      return Optional.of("another upstream has the address");
    }
    return cutOffNanos.isPresent() && nowNanos >= cutOffNanos.getAsLong()
        ? Optional.of("upstream leaves")
        : Optional.empty();
  }

  /** Returns whether the upstream may have a request now, although it has started recently. */
  boolean isWithinRate(long nowNanos) {
    return queue.isWithinRate(nowNanos);
  }

  /** Returns whether requests should prefer other upstreams where possible. */
  boolean isSuspect(long nowNanos) {
    return addressReassigned || nowNanos < connectBackoffUntilNanos || isSilent(nowNanos);
  }

  private boolean isSilent(long nowNanos) {
    return responsesDue() > 0 && nowNanos - silentSinceNanos > silenceNanos(nowNanos);
  }

  private long silenceNanos(long nowNanos) {
    return SilencePolicy.silenceNanos(queue.serviceNanos(typicalServiceNanos(), nowNanos));
  }

  /** Returns the expected latency of a request sent now. */
  long expectedNanos(long nowNanos) {
    return queue.expectedNanos(typicalServiceNanos(), nowNanos);
  }

  private long typicalServiceNanos() {
    return proxy.measurements().typicalServiceNanos(upstream.service());
  }

  /** Sends, queues or rejects a request. */
  void offer(ProxyExchange exchange) {
    long now = System.nanoTime();
    Optional<String> ended = sendingEnded(now);
    if (ended.isPresent()) {
      exchange.notSent(ended.get());
      return;
    }
    if (now < connectBackoffUntilNanos || (isSilent(now) && now < nextProbeNanos)) {
      exchange.notSent("upstream does not answer");
      return;
    }
    if (isSilent(now)) {
      unresponsive = true;
      nextProbeNanos = now + SILENT_PROBE_INTERVAL.toNanos();
    }
    if (exchange.isFirstTry() && !proxy.admits(upstream, exchange.urgency().rank())) {
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
    Optional<String> ended = sendingEnded(now);
    if (ended.isPresent()) {
      queue.takeAll().forEach(waiting -> waiting.notSent(ended.get()));
      return;
    }
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

  /** Removes a queued request; returns false if it is not queued. */
  boolean removeQueued(ProxyExchange exchange) {
    return queue.remove(exchange);
  }

  private void dispatch(ProxyExchange exchange) {
    if (!bodyBytes.admits(exchange.request().body().bytesToSend())) {
      queue.requestEnded();
      exchange.notSent("upstream receives large bodies");
      return;
    }
    if (responsesDue() == 1) {
      silentSinceNanos = System.nanoTime();
    }
    UpstreamConnection connection = takeIdle(exchange);
    if (connection == null) {
      connect(exchange);
    } else if (!exchange.connected(this, connection)) {
      queue.requestEnded();
      idle.push(connection);
    }
  }

  /**
   * Takes an idle connection, or returns null. A connection on which the request was refused is not
   * used for it again: a copy of that refusal could not be told from a second one.
   */
  private UpstreamConnection takeIdle(ProxyExchange exchange) {
    long now = System.nanoTime();
    long maxIdleNanos = maxIdleNanos(exchange);
    while (!idle.isEmpty()) {
      UpstreamConnection connection = idle.peek();
      if (!connection.isUsable(now, Long.MAX_VALUE)) {
        idle.pop();
        connection.close();
      } else if (!connection.isUsable(now, maxIdleNanos) || exchange.wasRefusedOn(connection)) {
        return null;
      } else {
        return idle.pop();
      }
    }
    return null;
  }

  private static long maxIdleNanos(ProxyExchange exchange) {
    return exchange.kind().isIdempotent() ? Long.MAX_VALUE : MAX_IDLE_NON_IDEMPOTENT.toNanos();
  }

  /** Returns whether a request could be sent on an open connection. */
  boolean hasIdleConnection(ProxyExchange exchange, long nowNanos) {
    return !idle.isEmpty() && idle.peek().isUsable(nowNanos, maxIdleNanos(exchange));
  }

  private void connect(ProxyExchange exchange) {
    var connection = new UpstreamConnection(this, proxy.settings().headers());
    exchange.connecting(this);
    proxy.metrics().connectionOpened(upstream.service());
    Duration timeout = SilencePolicy.connectTimeout(exchange.route().targetLatency());
    ChannelFuture connected =
        new Bootstrap()
            .group(proxy.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
            .option(ChannelOption.TCP_NODELAY, true)
            // An abandoned request must not be delivered after a network partition has healed.
            .option(ChannelOption.SO_LINGER, DISCARD_ON_CLOSE)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.addHandlersTo(channel.pipeline());
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
    Optional<String> ended = sendingEnded(System.nanoTime());
    boolean stillNeeded = exchange.isConnecting(this);
    if (ended.isPresent()) {
      queue.requestEnded();
      connection.close();
      if (stillNeeded) {
        exchange.notSent(ended.get());
      }
      dispatchQueued();
    } else if (!stillNeeded || !exchange.connected(this, connection)) {
      queue.requestEnded();
      connection.markIdle();
      idle.push(connection);
      dispatchQueued();
    }
  }

  private void connectFailed(ProxyExchange exchange, Throwable cause) {
    queue.requestEnded();
    unresponsive = true;
    connectFailures++;
    long backoffNanos = MIN_CONNECT_BACKOFF.toNanos() << Math.min(connectFailures - 1, 3);
    connectBackoffUntilNanos =
        System.nanoTime() + Math.min(backoffNanos, MAX_CONNECT_BACKOFF.toNanos());
    proxy.events().upstreamFailed(upstream, "connect", String.valueOf(cause.getMessage()));
    if (exchange.isConnecting(this)) {
      exchange.notSent("connect failed");
    }
    queue.takeAll().forEach(waiting -> waiting.notSent("connect failed"));
  }

  /** Records the load reported in the head of a response. */
  void responseStarted(HttpHeaders headers) {
    silentSinceNanos = System.nanoTime();
    LoadHeader.parse(headers.get(proxy.settings().headers().load()))
        .ifPresent(reported -> queue.loadReported(reported, System.nanoTime()));
  }

  /** Records that the upstream gets a body of at most the given length. */
  void bodySent(long bytes) {
    bodyBytes.sent(bytes);
  }

  /** Records that the upstream no longer holds a body of the given length. */
  void bodyEnded(long bytes) {
    bodyBytes.ended(bytes);
  }

  /** Records that a body is sent in parts, so that no response to its request is due. */
  void bodyOpened() {
    openBodies++;
  }

  /** Records the end of a body that was sent in parts, or of its request. */
  void bodyClosed() {
    openBodies--;
    if (responsesDue() == 1) {
      silentSinceNanos = System.nanoTime();
    }
  }

  private int responsesDue() {
    return queue.inFlight() - openBodies;
  }

  /** Records the service time of a request whose response has just ended. */
  void responseMeasured(long measuredNanos, long expectedNanos) {
    queue.responseMeasured(measuredNanos, expectedNanos, System.nanoTime());
  }

  /** Records that the upstream answered a request. */
  void requestSucceeded() {
    queue.requestSucceeded(System.nanoTime());
    boolean recovered = unresponsive && !hasColdRate;
    unresponsive = false;
    if (recovered) {
      startRampUp("recovered");
    }
  }

  /** Records that the upstream failed or rejected a request. */
  void requestFailed() {
    queue.requestFailed(System.nanoTime());
  }

  /** Returns whether requests were queued at the upstream according to its last response. */
  boolean hasUpstreamQueue() {
    return queue.hasUpstreamQueue(System.nanoTime());
  }

  /** Records that the upstream rejected a request for lack of capacity. */
  void upstreamFull() {
    queue.upstreamFull();
  }

  /**
   * Records that another upstream answers at the address, so that this one has ended. Nothing more
   * is sent to the address until the list of upstreams changes, because it would be refused.
   */
  void addressReassigned() {
    addressReassigned = true;
    queue.takeAll().forEach(waiting -> waiting.notSent("another upstream has the address"));
  }

  void responseMismatched(String receivedId, ProxyExchange exchange) {
    proxy.events().responseMismatched(upstream, receivedId, exchange.request().id());
  }

  /**
   * Records that a connection is closed because of bytes that are no response.
   *
   * @param exchange the request in flight, or null
   */
  void unexpectedBytes(String reason, ProxyExchange exchange) {
    proxy
        .events()
        .unexpectedBytes(upstream, reason, exchange == null ? "none" : exchange.request().id());
  }

  /** Records that the request on a connection has ended. */
  void responseCompleted(UpstreamConnection connection, boolean reusable) {
    queue.requestEnded();
    if (reusable && !retired) {
      idle.push(connection);
    } else {
      connection.closeAfterResponse();
    }
    dispatchQueued();
  }

  /** Records that a connection was closed by the upstream or has failed. */
  void connectionClosed(UpstreamConnection connection, boolean hadRequest) {
    idle.remove(connection);
    if (hadRequest) {
      queue.requestEnded();
      dispatchQueued();
    }
  }

  /** Records that a request in flight was abandoned, and closes its connection. */
  void requestAbandoned(UpstreamConnection connection) {
    connection.abandon();
    queue.requestEnded();
    dispatchQueued();
  }

  /** Closes the pool, because the upstream has left or was restarted. */
  void retire() {
    retired = true;
    cutOffTimer.ifPresent(TimerService.Subscription::cancel);
    idle.forEach(UpstreamConnection::close);
    idle.clear();
    queue.takeAll().forEach(waiting -> waiting.notSent("upstream has left"));
  }

  /** Closes connections that have been idle for too long to be reused. */
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
