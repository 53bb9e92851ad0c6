package org.catkinlift.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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
import org.catkinlift.model.NetworkAddress;

/**
 * An HTTP server for short text bodies on one event loop: health checks, metrics and messages of
 * other daemons.
 */
public final class TextHttpServer {
  private static final int MAX_REQUEST_BYTES = 4 << 20;

  private TextHttpServer() {}

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
   * @param responder handles the requests
   * @return a future that completes when the server is listening
   */
  public static ChannelFuture start(EventLoop loop, NetworkAddress address, Responder responder) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new Handler(responder));
              }
            })
        .bind(address.ip(), address.port());
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
