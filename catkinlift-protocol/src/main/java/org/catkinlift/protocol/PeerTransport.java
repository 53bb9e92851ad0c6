package org.catkinlift.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.protocol.generated.Frame;
import org.catkinlift.protocol.generated.OpenFrame;

/**
 * Transport of the inner protocol: listens for other daemons and opens links to them.
 *
 * <p>Control messages and relayed requests use separate links, so that a heartbeat never waits
 * behind a large body.
 */
public final class PeerTransport {
  /** The version of the inner protocol; a link from a daemon with another version is closed. */
  public static final int PROTOCOL_VERSION = 1;

  private static final AttributeKey<PeerLink> LINK = AttributeKey.valueOf("catkinlift.link");
  private static final int THREADS = 2;
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final HostId self;
  private final PeerListener listener;
  private final MultiThreadIoEventLoopGroup loops;
  private final LinkNumberGenerator linkNumbers = new LinkNumberGenerator();
  private final ConcurrentMap<LinkKey, CompletableFuture<PeerLink>> links =
      new ConcurrentHashMap<>();

  /** Also closes connections that are accepted while the transport is closing. */
  private final ChannelGroup channels =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, /* stayClosed= */ true);

  private Channel server;

  private PeerTransport(HostId self, PeerListener listener) {
    this.self = self;
    this.listener = listener;
    this.loops = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  }

  private enum LinkPurpose {
    CONTROL,
    RELAY
  }

  private record LinkKey(HostDefinition peer, LinkPurpose purpose) {}

  /**
   * Starts listening.
   *
   * @param self the host of this daemon
   * @param address the address to listen on
   * @param listener receives frames and link events
   * @return completes with the transport, or exceptionally with a {@link ProtocolException} with
   *     code {@code BIND_FAILED}
   */
  public static CompletableFuture<PeerTransport> start(
      HostId self, NetworkAddress address, PeerListener listener) {
    var transport = new PeerTransport(self, listener);
    var started = new CompletableFuture<PeerTransport>();
    new ServerBootstrap()
        .group(transport.loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            transport.newInitializer(c -> new FrameHandler(listener, transport.linkNumbers)))
        .bind(new InetSocketAddress(address.ip(), address.port()))
        .addListener((ChannelFuture bound) -> transport.finishStart(bound, address, started));
    return started;
  }

  private void finishStart(
      ChannelFuture bound, NetworkAddress address, CompletableFuture<PeerTransport> started) {
    if (bound.isSuccess()) {
      server = bound.channel();
      started.complete(this);
      return;
    }
    var unused = loops.shutdownGracefully();
    started.completeExceptionally(
        new ProtocolException(
            ProtocolException.Code.BIND_FAILED, "cannot listen on " + address, bound.cause()));
  }

  /**
   * Sends a control message. The message is lost if no link can be opened.
   *
   * @param to the receiver
   * @param message the message
   */
  public void send(HostDefinition to, PeerMessage message) {
    var unused =
        getOrOpenLink(new LinkKey(to, LinkPurpose.CONTROL)).thenAccept(link -> link.send(message));
  }

  /**
   * Returns the link for requests relayed to a daemon, and opens it if there is none.
   *
   * @param to the daemon
   * @return completes with the link, or exceptionally if it cannot be opened
   */
  public CompletableFuture<PeerLink> relayLink(HostDefinition to) {
    return getOrOpenLink(new LinkKey(to, LinkPurpose.RELAY));
  }

  /**
   * Stops listening and closes all connections.
   *
   * <p>The event loops stop last. A connection that registers with a loop after the loop has closed
   * its channels would stay open without ever being read, and the peer's requests on it would get
   * no response before their deadline.
   *
   * @return completes when all connections are closed and the event loops have stopped
   */
  public CompletableFuture<Void> close() {
    var closed = new CompletableFuture<Void>();
    server.close().addListener(stopped -> channels.close().addListener(done -> stopLoops(closed)));
    return closed;
  }

  private void stopLoops(CompletableFuture<Void> closed) {
    loops
        .shutdownGracefully(0, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .addListener(done -> closed.complete(null));
  }

  private CompletableFuture<PeerLink> getOrOpenLink(LinkKey key) {
    CompletableFuture<PeerLink> existing = links.get(key);
    if (existing != null) {
      return existing;
    }
    var opening = new CompletableFuture<PeerLink>();
    CompletableFuture<PeerLink> concurrent = links.putIfAbsent(key, opening);
    if (concurrent != null) {
      return concurrent;
    }
    openLink(key, opening);
    return opening;
  }

  private void openLink(LinkKey key, CompletableFuture<PeerLink> opening) {
    Consumer<PeerLink> onClose = link -> links.remove(key, opening);
    NetworkAddress address = key.peer().peerAddress();
    new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .handler(newInitializer(channel -> newOutgoingHandler(channel, key, onClose)))
        .connect(new InetSocketAddress(address.ip(), address.port()))
        .addListener((ChannelFuture connected) -> finishOpen(key, connected, opening));
  }

  private FrameHandler newOutgoingHandler(
      Channel channel, LinkKey key, Consumer<PeerLink> onClose) {
    Consumer<PeerLink> onRetire = onClose.andThen(listener::linkSuspected);
    var link = new PeerLink(channel, key.peer().id(), linkNumbers.next(), true, onRetire);
    channel.attr(LINK).set(link);
    return new FrameHandler(listener, link, onClose);
  }

  private void finishOpen(
      LinkKey key, ChannelFuture connected, CompletableFuture<PeerLink> opening) {
    if (!connected.isSuccess()) {
      links.remove(key, opening);
      opening.completeExceptionally(connected.cause());
      return;
    }
    // The peer may already have closed the connection, which removes the handlers from the
    // pipeline, so the link is not looked up there.
    PeerLink link = connected.channel().attr(LINK).get();
    link.write(
        Frame.newBuilder()
            .setOpen(
                OpenFrame.newBuilder().setHost(self.value()).setProtocolVersion(PROTOCOL_VERSION))
            .build());
    opening.complete(link);
  }

  private ChannelInitializer<Channel> newInitializer(Function<Channel, ChannelHandler> handler) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channels.add(channel);
        channel
            .pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new ProtobufDecoder(Frame.getDefaultInstance()),
                new LengthFieldPrepender(LENGTH_BYTES),
                new ProtobufEncoder(),
                handler.apply(channel));
      }
    };
  }
}
