package org.catkinlift.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;
import org.catkinlift.http.ResponseDecoder;

/**
 * Creates HTTP clients that decode responses with {@link ResponseDecoder}, so that both daemons
 * agree on which responses are malformed or incomplete.
 */
public final class HttpClients {
  private static final String DECODER = "response-decoder";
  private static final String ENCODER = "request-encoder";

  private HttpClients() {}

  /**
   * Creates an HTTP/1.1 client without pipelining.
   *
   * @param vertx runs the client
   * @param options the options of the client
   * @param pool the options of its connection pool
   * @return the client
   */
  public static HttpClientAgent create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
    return vertx
        .httpClientBuilder()
        .with(options.setPipelining(false))
        .with(pool)
        .withConnectHandler(HttpClients::replaceCodec)
        .build();
  }

  /**
   * Replaces the codec of a connection. Vert.x calls this before it sends the first request; it has
   * no option for the decoder, and only an internal class gives access to the channel.
   */
  private static void replaceCodec(HttpConnection connection) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    var decoder = new ResponseDecoder();
    pipeline.replace(HttpClientCodec.class, DECODER, decoder);
    pipeline.addAfter(DECODER, ENCODER, new RequestEncoder(decoder));
  }

  /** Encodes requests, and tells the decoder whether the response to a request has a body. */
  private static final class RequestEncoder extends HttpRequestEncoder {
    private final ResponseDecoder decoder;

    private RequestEncoder(ResponseDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
        throws Exception {
      if (message instanceof HttpRequest request) {
        decoder.setHeadOnly(request.method().equals(HttpMethod.HEAD));
      }
      super.write(context, message, promise);
    }
  }
}
