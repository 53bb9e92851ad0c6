package org.catkinlift.gateway.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.catkinlift.admission.ByteBudget;
import org.catkinlift.admission.ConnectionLimit;
import org.catkinlift.gateway.settings.GatewaySettings.CallerBounds;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.timer.TimerService;

/** Accepts the connections of callers. Confined to the traffic thread. */
public final class CallerServer {
  private static final int BACKLOG = 1_024;
  private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(500);

  private final EventLoop loop;
  private final TimerService timers;
  private final ReverseProxy proxy;
  private final ByteBudget<CallerConnection> budget;
  private final ConnectionLimit limit;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private final Set<CallerConnection> paused = new LinkedHashSet<>();
  private boolean stopping;

  /**
   * Creates the server.
   *
   * @param loop the traffic thread
   * @param timers the timers of the traffic thread
   * @param proxy forwards the requests to upstreams
   */
  public CallerServer(EventLoop loop, TimerService timers, ReverseProxy proxy) {
    this.loop = loop;
    this.timers = timers;
    this.proxy = proxy;
    CallerBounds bounds = proxy.settings().callerBounds();
    this.budget = new ByteBudget<>(bounds.bytes().orElseGet(ProcessResources::callerBytes));
    this.limit =
        new ConnectionLimit(
            bounds
                .connections()
                .orElseGet(() -> ProcessResources.callerConnections(bounds.descriptors())));
  }

  /**
   * Starts listening.
   *
   * @param address the address to listen on
   * @return a future that completes when the server is listening
   */
  public ChannelFuture start(NetworkAddress address) {
    timers.every(TIMEOUT_CHECK_INTERVAL, this::checkTimeouts);
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                initializePipeline(channel);
              }
            })
        .bind(address.ip(), address.port());
  }

  private void initializePipeline(Channel channel) {
    int headerBytes = proxy.snapshot().configuration().limits().maxHeaderBytes();
    var decoder = new RequestDecoder(headerBytes, proxy.settings().callerBounds().headerFields());
    new CallerConnection(this, proxy, decoder).addHandlersTo(channel.pipeline());
  }

  void connectionOpened(CallerConnection connection) {
    connections.add(connection);
    if (limit.isExceeded(connections.size())) {
      var others =
          connections.stream()
              .filter(c -> c != connection)
              .map(CallerConnection::asCandidate)
              .toList();
      closeForOthers(ConnectionLimit.replaceable(others).orElse(connection), "connections");
    }
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
    forget(connection);
  }

  /** Records the memory that a connection holds, and pauses or closes connections if needed. */
  void heldBytesChanged(CallerConnection connection, long bytes) {
    if (!connections.contains(connection)) {
      return;
    }
    switch (budget.update(connection, bytes, System.nanoTime())) {
      case ByteBudget.Decision.Granted<CallerConnection> granted -> resumePaused();
      case ByteBudget.Decision.Pause<CallerConnection> pause -> {
        paused.add(connection);
        connection.setPausedByBudget(true);
      }
      case ByteBudget.Decision.Close<CallerConnection> close ->
          closeForOthers(close.holder(), "memory");
    }
  }

  private void resumePaused() {
    if (paused.isEmpty() || !budget.hasCapacity()) {
      return;
    }
    List<CallerConnection> resumed = new ArrayList<>(paused);
    paused.clear();
    resumed.forEach(c -> c.setPausedByBudget(false));
  }

  private void closeForOthers(CallerConnection connection, String reason) {
    proxy.events().callerClosed(reason, budget.heldBytes(), connections.size());
    // The connection counts no more from now on, although its end is notified later.
    connections.remove(connection);
    forget(connection);
    connection.close();
  }

  private void forget(CallerConnection connection) {
    paused.remove(connection);
    var unused = budget.update(connection, 0, System.nanoTime());
    resumePaused();
  }

  private void checkTimeouts() {
    long now = System.nanoTime();
    var limits = proxy.snapshot().configuration().limits();
    new ArrayList<>(connections).forEach(c -> c.checkTimeouts(now, limits));
    budget.connectionToClose(now).ifPresent(c -> closeForOthers(c, "memory"));
  }

  boolean isStopping() {
    return stopping;
  }

  /** Closes each connection after its next response from now on. */
  public void beginStop() {
    stopping = true;
  }

  /** Closes the connections without a request in progress. */
  public void closeIdle() {
    new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  public int openConnections() {
    return connections.size();
  }
}
