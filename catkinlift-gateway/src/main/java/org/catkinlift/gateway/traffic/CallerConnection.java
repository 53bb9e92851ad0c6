package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import org.catkinlift.gateway.http.Channels;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.routes.CallerLimits;

/**
 * One connection of a caller. Pipelined requests are executed concurrently; their responses are
 * written in request order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_PIPELINED_REQUESTS = 32;
  private static final HttpVersion VERSION_WITHOUT_KEEP_ALIVE = HttpVersion.HTTP_1_0;

  private final CallerServer server;
  private final ReverseProxy proxy;
  private final Deque<ResponseSlot> slots = new ArrayDeque<>();
  private final Map<ResponseSlot, ProxyExchange> exchanges = new HashMap<>();

  private Channel channel;
  private HttpRequest head;
  private CompositeByteBuf body;
  private long headNanos;
  private long lastActivityNanos = System.nanoTime();
  private long receivingSinceNanos;
  private boolean receiving;
  private boolean closing;

  CallerConnection(CallerServer server, ReverseProxy proxy) {
    this.server = server;
    this.proxy = proxy;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    server.connectionOpened(this);
  }

  /** Records that bytes were received; called before they are decoded. */
  void bytesRead() {
    lastActivityNanos = System.nanoTime();
    if (!receiving) {
      receiving = true;
      receivingSinceNanos = lastActivityNanos;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (closing) {
        return;
      }
      if (message instanceof HttpRequest request) {
        headRead(context, request);
      }
      if (message instanceof HttpContent content && head != null) {
        bodyRead(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void headRead(ChannelHandlerContext context, HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      Throwable cause = request.decoderResult().cause();
      // The message may quote a line with an API key, so only the type of the error is logged.
      reject(statusOf(cause), "malformed request head: " + cause.getClass().getSimpleName());
      return;
    }
    String error = validationError(request);
    if (!error.isEmpty()) {
      reject(HttpResponseStatus.BAD_REQUEST, error);
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      Channels.writeAndFlush(
          context.channel(),
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = request;
    headNanos = System.nanoTime();
    body = channel.alloc().compositeBuffer();
  }

  private static HttpResponseStatus statusOf(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException) {
      return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    if (cause instanceof TooLongHttpLineException) {
      return HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    return HttpResponseStatus.BAD_REQUEST;
  }

  private static String validationError(HttpRequest request) {
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      return "Host header missing or repeated";
    }
    if (!request.uri().startsWith("/")) {
      return "request target is not an absolute path";
    }
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunked =
        encodings.size() == 1
            && encodings.get(0).trim().equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString());
    if (!encodings.isEmpty() && !chunked) {
      return "unsupported transfer encoding";
    }
    if (request.method().equals(HttpMethod.CONNECT)) {
      return "unsupported method";
    }
    return "";
  }

  private void bodyRead(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST, "malformed request body");
      return;
    }
    CallerLimits limits = proxy.snapshot().configuration().limits();
    if (body.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request body exceeds the size limit");
      return;
    }
    body.addComponent(true, content.content().retain());
    if (content instanceof LastHttpContent) {
      requestRead();
    }
  }

  private void requestRead() {
    HttpRequest request = head;
    ByteBuf fullBody = body;
    head = null;
    body = null;
    receiving = false;
    boolean last =
        !HttpUtil.isKeepAlive(request)
            || request.protocolVersion().equals(VERSION_WITHOUT_KEEP_ALIVE);
    var slot = new ResponseSlot(this, request.method().equals(HttpMethod.HEAD), last);
    slots.add(slot);
    if (last) {
      closing = true;
    }
    if (slots.size() >= MAX_PIPELINED_REQUESTS) {
      channel.config().setAutoRead(false);
    }
    var exchange = new ProxyExchange(proxy, toCallerRequest(request, fullBody), slot);
    exchanges.put(slot, exchange);
    exchange.start();
  }

  private CallerRequest toCallerRequest(HttpRequest request, ByteBuf fullBody) {
    HeaderNames names = proxy.settings().headers();
    String target = request.uri();
    int query = target.indexOf('?');
    return new CallerRequest(
        request.headers().get(names.requestId(), ""),
        request.method().name(),
        hostOf(request),
        target,
        query < 0 ? target : target.substring(0, query),
        HopByHopHeaders.copyEndToEnd(request.headers(), proxy.overwrittenHeaders()),
        fullBody,
        deadlineOf(request.headers().get(names.deadlineMillis())),
        headNanos);
  }

  private static String hostOf(HttpRequest request) {
    String host = request.headers().get(HttpHeaderNames.HOST).toLowerCase(Locale.ROOT);
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  private static OptionalLong deadlineOf(String text) {
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Math.max(0, Long.parseLong(text.trim())));
    } catch (NumberFormatException e) {
      // A malformed deadline is ignored; the route's timeout applies.
      return OptionalLong.empty();
    }
  }

  /**
   * Responds to a malformed request and closes the connection, because the start of the next
   * request cannot be determined.
   */
  private void reject(HttpResponseStatus status, String reason) {
    proxy.events().malformedRequest(status.code(), reason);
    if (body != null) {
      body.release();
      body = null;
    }
    head = null;
    receiving = false;
    var slot = new ResponseSlot(this, false, true);
    slots.add(slot);
    closing = true;
    slot.writeFull(
        status.code(),
        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
        Unpooled.EMPTY_BUFFER);
  }

  boolean isFirst(ResponseSlot slot) {
    return slots.peekFirst() == slot;
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /**
   * Returns whether the connection closes after the given response. While the daemon is stopping,
   * the response to the newest request is the last one, and later requests are not read.
   */
  boolean closesAfter(ResponseSlot slot) {
    if (slot.isLastRequest()) {
      return true;
    }
    if (server.isStopping() && slots.peekLast() == slot && head == null && !receiving) {
      closing = true;
    }
    return closing && slots.peekLast() == slot;
  }

  void write(Object part) {
    lastActivityNanos = System.nanoTime();
    Channels.write(channel, part);
  }

  void responseEnded(ResponseSlot slot) {
    exchanges.remove(slot);
    while (!slots.isEmpty() && slots.peekFirst().isEnded()) {
      slots.pollFirst();
      ResponseSlot next = slots.peekFirst();
      if (next == null) {
        break;
      }
      next.pendingParts().forEach(this::write);
      next.pendingParts().clear();
      next.notifyWritable();
    }
    if (slots.size() < MAX_PIPELINED_REQUESTS && !channel.config().isAutoRead()) {
      channel.config().setAutoRead(true);
    }
    if (slots.isEmpty() && closing) {
      Channels.closeAfterWrites(channel);
    } else {
      channel.flush();
    }
  }

  void flush() {
    channel.flush();
  }

  void close() {
    Channels.close(channel);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    ResponseSlot first = slots.peekFirst();
    if (first != null && channel.isWritable()) {
      first.notifyWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.connectionClosed(this);
    if (body != null) {
      body.release();
      body = null;
    }
    head = null;
    new ArrayList<>(exchanges.values()).forEach(ProxyExchange::callerDisconnected);
    exchanges.clear();
    slots.forEach(s -> s.pendingParts().forEach(ReferenceCountUtil::release));
    slots.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Channels.close(context.channel());
  }

  /** Closes an idle connection and rejects an incomplete request when its time limit has passed. */
  void checkTimeouts(long nowNanos, CallerLimits limits) {
    if (slots.isEmpty() && !receiving) {
      long idleNanos = nowNanos - lastActivityNanos;
      if (idleNanos > limits.idleTimeout().toNanos()) {
        Channels.close(channel);
      }
      return;
    }
    boolean headTimedOut =
        receiving
            && head == null
            && nowNanos - receivingSinceNanos > limits.headerTimeout().toNanos();
    boolean bodyTimedOut =
        head != null && nowNanos - lastActivityNanos > limits.idleTimeout().toNanos();
    if (headTimedOut || bodyTimedOut) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "request not received within the time limit");
    }
  }

  /** Closes the connection if no request is in progress or partly received. */
  void closeIfIdle() {
    if (slots.isEmpty() && !receiving) {
      closing = true;
      // The end of the last response may not have been flushed yet.
      Channels.closeAfterWrites(channel);
    }
  }
}
