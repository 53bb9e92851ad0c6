package org.catkinlift.gateway.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.timer.TimerService;

/** Accepts the connections of callers. Confined to the traffic thread. */
public final class CallerServer {
  private static final int BACKLOG = 1_024;
  private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(500);

  private final EventLoop loop;
  private final TimerService timers;
  private final ReverseProxy proxy;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
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
    var connection = new CallerConnection(this, proxy);
    int headerBytes = proxy.snapshot().configuration().limits().maxHeaderBytes();
    channel
        .pipeline()
        .addLast(
            new ReadObserver(connection),
            new RequestDecoder(headerBytes),
            new HttpResponseEncoder(),
            connection);
  }

  /** Notifies a connection of received bytes before they are decoded. */
  private static final class ReadObserver extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    private ReadObserver(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      connection.bytesRead();
      context.fireChannelRead(message);
    }
  }

  void connectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  private void checkTimeouts() {
    long now = System.nanoTime();
    var limits = proxy.snapshot().configuration().limits();
    new ArrayList<>(connections).forEach(c -> c.checkTimeouts(now, limits));
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
