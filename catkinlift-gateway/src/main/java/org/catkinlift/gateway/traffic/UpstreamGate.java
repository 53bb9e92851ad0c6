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
final class UpstreamGate {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

  /** An upstream that works but has answered nothing for so long counts as silent. */
  private static final Duration SILENCE = Duration.ofMillis(1_200);

  private static final Duration SILENT_PROBE_INTERVAL = Duration.ofMillis(400);

  /**
   * A request that must not be executed twice gets a connection that was used this recently, or a
   * new one: an upstream may have forgotten an idle connection.
   */
  private static final Duration FRESH = Duration.ofMillis(1_500);

  /**
   * A caller that an overloaded upstream cannot take comes back after about this part of its time.
   */
  private static final int OVERLOAD_RETURN_PARTS = 4;

  /** Closing resets the connection and discards what was not delivered. */
  private static final int DISCARD_ON_CLOSE = 0;

  private final Traffic traffic;
  private final UpstreamQueue<RequestFlow> queue;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

  private UpstreamRecord upstream;
  private boolean pumpScheduled;
  private int connectFailures;
  private long pausedUntilNanos;
  private long quietSinceNanos;
  private long nextProbeNanos;
  private boolean retired;
  private boolean addressTaken;

  UpstreamGate(Traffic traffic, UpstreamRecord upstream, long nowNanos) {
    this.traffic = traffic;
    this.upstream = upstream;
    this.queue = new UpstreamQueue<>(upstream.concurrencyLimit(), nowNanos);
  }

  UpstreamRecord upstream() {
    return upstream;
  }

  int waiting() {
    return queue.waiting();
  }

  /** Takes what the upstream states about itself now. */
  void update(UpstreamRecord next, double coldPerSecond, int daemons, long nowNanos) {
    upstream = next;
    if (next.remainingColdTime().isZero() || coldPerSecond <= 0) {
      return;
    }
    long warmAt = nowNanos + next.remainingColdTime().toNanos();
    queue.markCold(coldPerSecond, daemons, traffic.random(), warmAt, nowNanos);
  }

  boolean isCold(long nowNanos) {
    return queue.isCold(nowNanos);
  }

  /** Tells whether requests that can go elsewhere should. */
  boolean isDoubtful(long nowNanos) {
    return addressTaken || nowNanos < pausedUntilNanos || isSilent(nowNanos);
  }

  private boolean isSilent(long nowNanos) {
    return queue.inFlight() > 0 && nowNanos - quietSinceNanos > SILENCE.toNanos();
  }

  /** Returns how long a request sent now is expected to take. */
  long expectedNanos(long nowNanos) {
    return queue.expectedNanos(usualNanos(), nowNanos);
  }

  private long usualNanos() {
    return traffic.measurements().serviceNanos(upstream.service());
  }

  /** Takes a request; it is sent, waits or is rejected. */
  void offer(RequestFlow flow) {
    long now = System.nanoTime();
    if (addressTaken) {
      flow.notSent("another upstream has the address");
      return;
    }
    if (retired || now < pausedUntilNanos || (isSilent(now) && now < nextProbeNanos)) {
      flow.notSent("upstream does not answer");
      return;
    }
    if (isSilent(now)) {
      nextProbeNanos = now + SILENT_PROBE_INTERVAL.toNanos();
    }
    if (flow.isFirstTry() && !traffic.admits(upstream, flow.urgency().priority())) {
      long left = flow.urgency().deadlineNanos() - now;
      flow.rejected(
          "overloaded upstream",
          AdmissionPolicy.retryAfter(left / OVERLOAD_RETURN_PARTS, left, traffic.random()),
          0);
      return;
    }
    long wait = queue.waitNanos(flow.urgency(), usualNanos(), now);
    switch (queue.offer(flow, flow.urgency(), usualNanos(), traffic.random(), now)) {
      case AdmissionPolicy.Decision.Admit admit -> pump();
      case AdmissionPolicy.Decision.Reject reject ->
          flow.rejected("queue", reject.retryAfter(), wait);
    }
  }

  private void pump() {
    long now = System.nanoTime();
    if (now < pausedUntilNanos) {
      return;
    }
    Optional<RequestFlow> next = queue.takeNext(usualNanos(), now);
    while (next.isPresent()) {
      dispatch(next.get());
      next = queue.takeNext(usualNanos(), System.nanoTime());
    }
    long pause = queue.nanosUntilNext(now);
    if (pause > 0) {
      pumpLater(pause);
    }
  }

  private void pumpLater(long nanos) {
    if (pumpScheduled) {
      return;
    }
    pumpScheduled = true;
    traffic.after(
        nanos,
        () -> {
          pumpScheduled = false;
          pump();
        });
  }

  /** Removes a request that waits no longer. */
  boolean withdraw(RequestFlow flow) {
    return queue.remove(flow);
  }

  private void dispatch(RequestFlow flow) {
    if (queue.inFlight() == 1) {
      quietSinceNanos = System.nanoTime();
    }
    UpstreamConnection connection = takeIdle(flow.kind());
    if (connection != null) {
      flow.connected(this, connection);
      return;
    }
    connect(flow);
  }

  private UpstreamConnection takeIdle(RequestKind kind) {
    long now = System.nanoTime();
    long mostIdle = kind.isIdempotent() ? Long.MAX_VALUE : FRESH.toNanos();
    while (!idle.isEmpty()) {
      UpstreamConnection connection = idle.peek();
      if (!connection.isUsable(now, Long.MAX_VALUE)) {
        idle.pop();
        connection.close();
      } else if (!connection.isUsable(now, mostIdle)) {
        return null;
      } else {
        return idle.pop();
      }
    }
    return null;
  }

  private void connect(RequestFlow flow) {
    var connection = new UpstreamConnection(this, traffic.settings().headers());
    flow.connecting(this);
    traffic.metrics().connectionOpened(upstream.service());
    ChannelFuture connected =
        new Bootstrap()
            .group(traffic.loop())
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
            connectedTo(flow, connection);
          } else {
            connectFailed(flow, c.cause());
          }
        });
  }

  private void connectedTo(RequestFlow flow, UpstreamConnection connection) {
    if (flow.isConnecting(this)) {
      flow.connected(this, connection);
      return;
    }
    queue.requestEnded();
    connection.markIdle();
    idle.push(connection);
    pump();
  }

  private void connectFailed(RequestFlow flow, Throwable cause) {
    queue.requestEnded();
    connectFailures++;
    long pause = FIRST_PAUSE.toNanos() << Math.min(connectFailures - 1, 3);
    pausedUntilNanos = System.nanoTime() + Math.min(pause, LONGEST_PAUSE.toNanos());
    traffic.upstreamFailed(upstream, "connect", String.valueOf(cause.getMessage()));
    if (flow.isConnecting(this)) {
      flow.notSent("connect failed");
    }
    queue.takeAll().forEach(f -> f.notSent("connect failed"));
  }

  /** Takes the load that came with the head of an answer. */
  void answerBegun(HttpHeaders headers) {
    quietSinceNanos = System.nanoTime();
    LoadHeader.parse(headers.get(traffic.settings().headers().load()))
        .ifPresent(reported -> queue.loadReported(reported, System.nanoTime()));
  }

  /** Tells whether requests wait at the upstream, as far as its last answer said. */
  boolean hasQueue() {
    return queue.hasUpstreamQueue(System.nanoTime());
  }

  /** Takes that the upstream turned a request away for lack of room. */
  void full() {
    queue.upstreamFull();
  }

  /**
   * Takes that another upstream answers at the address, so that this one has ended. Nothing more is
   * sent there until the list of upstreams says otherwise; it would only be turned away.
   */
  void addressTaken() {
    addressTaken = true;
    queue.takeAll().forEach(f -> f.notSent("another upstream has the address"));
  }

  void strayAnswer(String id, RequestFlow flow) {
    traffic.strayAnswer(upstream, id, flow.request().id());
  }

  /** Takes that a request on a connection has ended. */
  void completed(UpstreamConnection connection, boolean reusable) {
    queue.requestEnded();
    if (reusable && !retired) {
      idle.push(connection);
    } else {
      connection.closeWhenDone();
    }
    pump();
  }

  /** Takes that a connection has closed. */
  void closed(UpstreamConnection connection, boolean hadRequest) {
    idle.remove(connection);
    if (hadRequest) {
      queue.requestEnded();
      pump();
    }
  }

  /** Takes that a request was given up while it was at the upstream. */
  void abandoned(UpstreamConnection connection) {
    connection.abandon();
    queue.requestEnded();
    pump();
  }

  /** Ends this way, because the upstream has gone or begun another life. */
  void retire() {
    retired = true;
    idle.forEach(UpstreamConnection::close);
    idle.clear();
    queue.takeAll().forEach(f -> f.notSent("upstream has left"));
  }

  /** Moves the waiting requests elsewhere, because the upstream leaves. */
  void emptyLine() {
    queue.takeAll().forEach(f -> f.notSent("upstream leaves"));
  }

  /** Closes connections that are too old to be used again. */
  void sweep(long nowNanos) {
    idle.removeIf(
        c -> {
          boolean old = !c.isUsable(nowNanos, Long.MAX_VALUE);
          if (old) {
            c.close();
          }
          return old;
        });
  }
}
