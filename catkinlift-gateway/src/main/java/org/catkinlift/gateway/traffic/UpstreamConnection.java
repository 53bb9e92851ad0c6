package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import org.catkinlift.gateway.http.Channels;
import org.catkinlift.gateway.http.InboundByteLimit;
import org.catkinlift.gateway.http.UnexpectedBytesException;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.http.ResponseDecoder;

/**
 * One connection to an upstream, with at most one request in flight.
 *
 * <p>A response with the id of another request is skipped, and the connection keeps waiting for the
 * response to the current request. If bytes arrive while no request is in flight, or too many
 * before the response, the connection is closed, because they cannot be attributed to a request.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final String KEEP_ALIVE = "keep-alive";
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(8);

  /** Includes informational responses and responses to other requests, which are skipped. */
  private static final long MAX_BYTES_BEFORE_RESPONSE = 1 << 20;

  /** The share of the upstream's idle timeout within which a connection is reused. */
  private static final double IDLE_TIMEOUT_SHARE = 0.6;

  private final UpstreamPool pool;
  private final String requestIdHeader;
  private final String notExecutedHeader;
  private final InboundByteLimit byteLimit = new InboundByteLimit();
  private final ResponseDecoder decoder = new ResponseDecoder();

  private Channel channel;
  private ProxyExchange exchange;
  private boolean skippingResponse;
  private boolean receivingResponse;
  private boolean bodyOpen;
  private long bodyBytes;
  private boolean keepAlive = true;
  private boolean closed;
  private long idleSinceNanos;
  private long idleLimitNanos = (long) (DEFAULT_IDLE_TIMEOUT.toNanos() * IDLE_TIMEOUT_SHARE);

  UpstreamConnection(UpstreamPool pool, HeaderNames names) {
    this.pool = pool;
    this.requestIdHeader = names.requestId();
    this.notExecutedHeader = names.notExecuted();
  }

  /** Adds the handlers of the connection to its channel. */
  void addHandlersTo(ChannelPipeline pipeline) {
    pipeline.addLast(byteLimit, decoder, new HttpRequestEncoder(), this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  boolean isUsable(long nowNanos, long maxIdleNanos) {
    long limit = Math.min(idleLimitNanos, maxIdleNanos);
    return channel.isActive() && !closed && nowNanos - idleSinceNanos < limit;
  }

  /** Sends a request; the connection must be idle. */
  void send(ProxyExchange next, HttpHeaders headers) {
    exchange = next;
    receivingResponse = false;
    CallerRequest request = next.request();
    byteLimit.allow(MAX_BYTES_BEFORE_RESPONSE);
    decoder.setHeadOnly(request.method().equals("HEAD"));
    Channels.write(
        channel,
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(), headers));
    bodyBytes = request.body().bytesToSend();
    pool.bodySent(bodyBytes);
    request.body().sendTo(this);
  }

  /** Sends the whole body of the request, and takes ownership of the buffer. */
  void writeWholeBody(ByteBuf body) {
    Channels.writeAndFlush(channel, new DefaultLastHttpContent(body));
  }

  /** Records that the body of the request is sent in parts, until its end is written. */
  void beginBody() {
    bodyOpen = true;
    pool.bodyOpened();
  }

  /** Sends part of the body of the request, and takes ownership of the buffer. */
  void writeBody(ByteBuf part) {
    Channels.writeAndFlush(channel, new DefaultHttpContent(part));
  }

  /** Sends the end of a body that was sent in parts. */
  void writeBodyEnd() {
    closeBody();
    Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
  }

  private void closeBody() {
    if (bodyOpen) {
      bodyOpen = false;
      pool.bodyClosed();
    }
  }

  /** Returns whether the upstream takes more of the body. */
  boolean isWritable() {
    return channel.isWritable();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (exchange != null && channel.isWritable()) {
      exchange.request().body().unblocked();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (closed) {
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure()) {
        rejectBytes("malformed answer");
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
    if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      rejectBytes("switch of protocols");
      return;
    }
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
    byteLimit.allow(InboundByteLimit.UNLIMITED);
    // A copy of a refusal without a request id would be taken for that of the next request.
    keepAlive = HttpUtil.isKeepAlive(response) && hasDelimitedBody(response) && id != null;
    updateIdleLimit(response.headers().get(KEEP_ALIVE));
    pool.responseStarted(response.headers());
    exchange.responseHeadReceived(response);
  }

  /**
   * Returns whether a response belongs to the current request. Only a response to a request that
   * was not executed may omit the request id.
   */
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
    ProxyExchange finished = exchange;
    boolean bodySent = !bodyOpen;
    requestEnded();
    receivingResponse = false;
    byteLimit.allow(InboundByteLimit.NONE);
    idleSinceNanos = System.nanoTime();
    // Reading may be paused because the caller was slow; the next response must be read.
    setReading(true);
    boolean followedByBytes = decoder.hasUnreadBytes();
    if (followedByBytes) {
      pool.unexpectedBytes("bytes after the end of an answer", finished);
    }
    // The upstream would take the next request for the rest of this one's body.
    pool.responseCompleted(this, keepAlive && bodySent && !followedByBytes && channel.isActive());
  }

  private void requestEnded() {
    exchange = null;
    closeBody();
    pool.bodyEnded(bodyBytes);
    bodyBytes = 0;
  }

  /** Marks a new connection as idle because its request has ended in the meantime. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  /** Closes the connection after a response, because it cannot be reused. */
  void closeAfterResponse() {
    closed = true;
    Channels.close(channel);
  }

  void setReading(boolean reading) {
    if (channel.config().isAutoRead() != reading) {
      channel.config().setAutoRead(reading);
    }
  }

  /** Closes the connection without notifying its exchange, which has already ended. */
  void abandon() {
    requestEnded();
    closed = true;
    Channels.close(channel);
  }

  void close() {
    closed = true;
    Channels.close(channel);
  }

  /** Closes the connection, because what the upstream sends is no response. */
  void rejectBytes(String reason) {
    pool.unexpectedBytes(reason, exchange);
    fail(reason);
  }

  private void fail(String reason) {
    closed = true;
    ProxyExchange interrupted = exchange;
    requestEnded();
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
    if (closed) {
      return;
    }
    if (cause instanceof UnexpectedBytesException) {
      rejectBytes(exchange == null ? "bytes without a request" : "malformed answer");
    } else {
      fail("connection failed");
    }
  }
}
