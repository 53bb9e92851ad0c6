package org.catkinlift.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import org.catkinlift.model.NetworkAddress;

/**
 * An HTTP server for short text bodies on one event loop: health checks, metrics and messages of
 * other daemons.
 */
public final class TextHttpServer {
  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 1_024;

  private TextHttpServer() {}

  /**
   * What clients of one address may occupy.
   *
   * @param maxBodyBytes the maximum size of the body of a request
   * @param maxConnections the number of connections above which a new one replaces the one that has
   *     sent nothing for the longest time
   * @param maxReadBytes the maximum size of one read, all requests of which are decoded at once
   */
  public record Limits(int maxBodyBytes, int maxConnections, int maxReadBytes) {
    /** For health checks and metrics, whose requests have no body. */
    public static final Limits WITHOUT_BODIES = new Limits(1_024, 32, 8_192);

    /** For reports of up to 95 other daemons, one or two connections each. */
    public static final Limits PEERS = new Limits(4 << 20, 256, 64 << 10);
  }

  /** Handles requests. */
  public interface Responder {

    /**
     * Handles a request.
     *
     * @param path the path and query
     * @param body the body as text
     * @return the response
     */
    TextResponse respond(String path, String body);
  }

  /**
   * Starts a server.
   *
   * @param loop the event loop that runs the connections and the responder
   * @param address the address to listen on
   * @param limits what the clients may occupy
   * @param responder handles the requests
   * @return a future that completes when the server is listening
   */
  public static ChannelFuture start(
      EventLoop loop, NetworkAddress address, Limits limits, Responder responder) {
    // In the order in which they last sent something.
    Set<Channel> connections = new LinkedHashSet<>();
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(
                MIN_READ_BYTES, INITIAL_READ_BYTES, limits.maxReadBytes()))
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new ConnectionTracker(connections, limits.maxConnections()),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(limits.maxBodyBytes()),
                        new Handler(responder));
              }
            })
        .bind(address.ip(), address.port());
  }

  /** Closes the connection that has sent nothing for the longest time if there are too many. */
  private static final class ConnectionTracker extends ChannelInboundHandlerAdapter {
    private final Set<Channel> connections;
    private final int maxConnections;

    private ConnectionTracker(Set<Channel> connections, int maxConnections) {
      this.connections = connections;
      this.maxConnections = maxConnections;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.add(context.channel());
      if (connections.size() > maxConnections) {
        Channel oldest = connections.iterator().next();
        connections.remove(oldest);
        Channels.close(oldest);
      }
      context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (connections.remove(context.channel())) {
        connections.add(context.channel());
      }
      context.fireChannelRead(message);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      // A client that does not read its responses gets no more of them.
      context.channel().config().setAutoRead(context.channel().isWritable());
      context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
      context.fireChannelInactive();
    }
  }

  private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Responder responder;

    private Handler(Responder responder) {
      this.responder = responder;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      TextResponse textResponse =
          responder.respond(request.uri(), request.content().toString(StandardCharsets.UTF_8));
      byte[] bytes = textResponse.bytes();
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(textResponse.status()),
              Unpooled.wrappedBuffer(bytes));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      ChannelFuture written = context.writeAndFlush(response);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context.channel());
    }
  }
}
