package org.catkinlift.gateway.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import org.catkinlift.gateway.http.Channels;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;

/**
 * One connection to an upstream; carries one request at a time.
 *
 * <p>An answer that names another request is skipped, and the connection goes on waiting for its
 * own. Bytes that come while no request waits belong to nobody; the connection is closed.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final String KEEP_ALIVE = "keep-alive";
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(8);

  /** Share of the upstream's idle time within which the connection is used again. */
  private static final double IDLE_TIMEOUT_SHARE = 0.6;

  private final UpstreamPool pool;
  private final String requestIdHeader;
  private final String notExecutedHeader;
  private final ResponseDecoder decoder = new ResponseDecoder();

  private Channel channel;
  private ProxyExchange exchange;
  private boolean skippingResponse;
  private boolean receivingResponse;
  private boolean keepAlive = true;
  private boolean closed;
  private long idleSinceNanos;
  private long idleLimitNanos = (long) (DEFAULT_IDLE_TIMEOUT.toNanos() * IDLE_TIMEOUT_SHARE);

  /** Decodes answers; the answer to a HEAD request has no body whatever its length says. */
  static final class ResponseDecoder extends HttpResponseDecoder {
    private boolean headOnly;

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return headOnly || super.isContentAlwaysEmpty(message);
    }
  }

  UpstreamConnection(UpstreamPool pool, HeaderNames names) {
    this.pool = pool;
    this.requestIdHeader = names.requestId();
    this.notExecutedHeader = names.notExecuted();
  }

  ResponseDecoder decoder() {
    return decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  boolean isUsable(long nowNanos, long maxIdleNanos) {
    long limit = Math.min(idleLimitNanos, maxIdleNanos);
    return channel.isActive() && !closed && nowNanos - idleSinceNanos < limit;
  }

  /** Sends a request. */
  void send(ProxyExchange next, HttpHeaders headers) {
    exchange = next;
    receivingResponse = false;
    CallerRequest request = next.request();
    decoder.headOnly = request.method().equals("HEAD");
    Channels.write(
        channel,
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(), headers));
    Channels.writeAndFlush(channel, new DefaultLastHttpContent(request.body().retainedDuplicate()));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (closed) {
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure() || exchange == null) {
        fail(exchange == null ? "bytes without a request" : "malformed answer");
        return;
      }
      if (part instanceof HttpResponse response) {
        headRead(response);
      }
      if (part instanceof HttpContent content && !closed) {
        contentRead(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void headRead(HttpResponse response) {
    boolean informational = response.status().code() / 100 == 1;
    String id = response.headers().get(requestIdHeader);
    boolean mismatched = !informational && !isForCurrentRequest(id, response);
    skippingResponse = informational || mismatched;
    if (mismatched) {
      pool.responseMismatched(String.valueOf(id), exchange);
    }
    if (skippingResponse) {
      return;
    }
    receivingResponse = true;
    keepAlive = HttpUtil.isKeepAlive(response) && hasDelimitedBody(response);
    updateIdleLimit(response.headers().get(KEEP_ALIVE));
    pool.responseStarted(response.headers());
    exchange.responseHeadReceived(response);
  }

  /** Only a refusal may come without the id of its request. */
  private boolean isForCurrentRequest(String id, HttpResponse response) {
    if (id == null) {
      return response.headers().contains(notExecutedHeader);
    }
    return id.equals(exchange.request().id());
  }

  private boolean hasDelimitedBody(HttpResponse response) {
    return decoder.isContentAlwaysEmpty(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || HttpUtil.isContentLengthSet(response);
  }

  private void updateIdleLimit(String keepAliveHeader) {
    if (keepAliveHeader == null) {
      return;
    }
    int start = keepAliveHeader.indexOf("timeout=");
    if (start < 0) {
      return;
    }
    long seconds = 0;
    for (int i = start + "timeout=".length(); i < keepAliveHeader.length(); i++) {
      int digit = Character.digit(keepAliveHeader.charAt(i), 10);
      if (digit < 0 || seconds > 3_600) {
        break;
      }
      seconds = seconds * 10 + digit;
    }
    idleLimitNanos = (long) (Duration.ofSeconds(seconds).toNanos() * IDLE_TIMEOUT_SHARE);
  }

  private void contentRead(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      return;
    }
    if (!receivingResponse) {
      return;
    }
    ProxyExchange current = exchange;
    if (last) {
      responseFinished();
    }
    current.responseContentReceived(content.content().retain(), last);
  }

  private void responseFinished() {
    exchange = null;
    receivingResponse = false;
    idleSinceNanos = System.nanoTime();
    // The caller may have been too slow for the last part; the next request must be read.
    setReading(true);
    pool.responseCompleted(this, keepAlive && channel.isActive());
  }

  /** Notes that the connection was opened for a request that has gone. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  /** Closes the connection after an answer that ends it. */
  void closeAfterResponse() {
    closed = true;
    Channels.close(channel);
  }

  void setReading(boolean reading) {
    if (channel.config().isAutoRead() != reading) {
      channel.config().setAutoRead(reading);
    }
  }

  /**
   * Ends the request on this connection without telling it, because nobody waits for it any more.
   */
  void abandon() {
    exchange = null;
    closed = true;
    Channels.close(channel);
  }

  void close() {
    closed = true;
    Channels.close(channel);
  }

  private void fail(String reason) {
    closed = true;
    ProxyExchange interrupted = exchange;
    exchange = null;
    Channels.close(channel);
    pool.connectionClosed(this, interrupted != null);
    if (interrupted != null) {
      interrupted.connectionLost(reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (!closed) {
      fail("connection closed");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // Reported before the decoder could take the end of the connection for the end of the answer.
    if (!closed) {
      fail("connection failed");
    }
  }
}
