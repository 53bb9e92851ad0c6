package org.catkinlift.gateway.traffic;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.admission.ConnectionLimit;
import org.catkinlift.admission.ConnectionLimit.Use;
import org.catkinlift.gateway.http.Channels;
import org.catkinlift.routes.CallerLimits;

/**
 * One connection of a caller. Pipelined requests are executed concurrently; their responses are
 * written in request order. Confined to the traffic thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final HttpVersion VERSION_WITHOUT_KEEP_ALIVE = HttpVersion.HTTP_1_0;

  /** The memory of a request besides its headers and its body. */
  private static final long REQUEST_OVERHEAD_BYTES = 2_048;

  /** The memory of a header field besides its characters; the headers are held twice. */
  private static final int FIELD_OVERHEAD_BYTES = 128;

  private static final long HEADER_COPIES = 2;

  /** What a head that is received in part may hold besides its fields. */
  private static final int UNFINISHED_HEAD_BYTES = 16 << 10;

  /** The rest of a refused body that is read, so that the caller can read the response. */
  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  /** How long the rest of a body is discarded after the last response. */
  private static final Duration MAX_LINGER = Duration.ofSeconds(1);

  /** The time without progress of a body for whose upstream other requests wait. */
  private static final Duration MAX_BLOCKING_STALL = Duration.ofSeconds(1);

  private final CallerServer server;
  private final ReverseProxy proxy;
  private final RequestDecoder decoder;
  private final InboundGate gate;
  private final CallerRequestFactory requestFactory;
  private final Deque<ResponseSlot> slots = new ArrayDeque<>();
  private final Map<ResponseSlot, ProxyExchange> exchanges = new HashMap<>();

  private Channel channel;
  private Reading reading = new Reading.Nothing();
  private long lastActivityNanos = System.nanoTime();
  private long lastReadNanos = lastActivityNanos;
  private long lastWriteNanos = lastActivityNanos;
  private long unsentBytes;
  private long discardedBytes;
  private long lingerStartNanos;
  private boolean lingering;
  private boolean pausedByBudget;
  private boolean resumeScheduled;
  private boolean closing;
  private boolean closed;

  /** What is being received. */
  private sealed interface Reading {
    /** No part of a request was received. */
    record Nothing() implements Reading {}

    /** The head of a request was received in part. */
    record Head(long sinceNanos) implements Reading {}

    /** The body is received before the request is forwarded. */
    record Body(CallerRequest request, RequestAcceptance acceptance, boolean lastRequest)
        implements Reading {}

    /** The body is forwarded as it arrives. */
    record Streaming(CallerRequest request, ResponseSlot slot, ProxyExchange exchange)
        implements Reading {}

    /** The rest of a request that was refused or ended. */
    record Discarding(boolean bodyFollows) implements Reading {}
  }

  CallerConnection(CallerServer server, ReverseProxy proxy, RequestDecoder decoder) {
    this.server = server;
    this.proxy = proxy;
    this.decoder = decoder;
    this.gate = new InboundGate(this, decoder);
    this.requestFactory = new CallerRequestFactory(proxy);
  }

  /** Adds the handlers of the connection to its channel. */
  void addHandlersTo(ChannelPipeline pipeline) {
    pipeline.addLast(gate, decoder, new HttpResponseEncoder(), this);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    server.connectionOpened(this);
  }

  /** Records that bytes were received; called before they are decoded. */
  void bytesRead(int bytes) {
    lastReadNanos = System.nanoTime();
    lastActivityNanos = lastReadNanos;
    if (reading instanceof Reading.Nothing && !closing) {
      reading = new Reading.Head(lastReadNanos);
    }
    if (closing || reading instanceof Reading.Discarding) {
      discardedBytes += bytes;
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        close();
      }
    }
  }

  /** Returns whether another message may be decoded, and more may be read from the socket. */
  boolean takesInput() {
    if (reading instanceof Reading.Streaming streaming) {
      return !pausedByBudget && !streaming.request().body().isBlocked();
    }
    if (closing) {
      return true;
    }
    return !pausedByBudget
        && slots.size() < proxy.settings().callerBounds().pipelinedRequests()
        && channel.isWritable();
  }

  void after(Duration delay, Runnable task) {
    proxy.after(delay.toNanos(), task);
  }

  private void scheduleResume() {
    if (channel.config().isAutoRead() || resumeScheduled) {
      return;
    }
    resumeScheduled = true;
    channel
        .eventLoop()
        .execute(
            () -> {
              resumeScheduled = false;
              gate.resume();
            });
  }

  /** Sets whether nothing may be read, because callers hold too much memory. */
  void setPausedByBudget(boolean paused) {
    pausedByBudget = paused;
    if (!paused) {
      scheduleResume();
    }
  }

  /** Passes on the body that was decoded, and reports the memory that the connection holds. */
  void inputDecoded() {
    if (reading instanceof Reading.Streaming streaming) {
      streaming.request().body().flush();
    }
    heldBytesChanged();
  }

  /** Reports the memory that the connection holds. */
  void heldBytesChanged() {
    if (!closed) {
      server.heldBytesChanged(this, heldBytes());
    }
  }

  private long heldBytes() {
    long bytes = decoder.unreadBytes() + outboundBytes();
    for (ResponseSlot slot : slots) {
      bytes += slot.heldBytes();
    }
    return bytes
        + switch (reading) {
          case Reading.Nothing nothing -> 0;
          case Reading.Head head ->
              UNFINISHED_HEAD_BYTES + (long) decoder.headerFields() * FIELD_OVERHEAD_BYTES;
          case Reading.Body body -> requestBytes(body.request());
          case Reading.Streaming streaming -> streaming.request().body().heldBytes();
          case Reading.Discarding discarding -> 0;
        };
  }

  private long outboundBytes() {
    var marks = channel.config().getWriteBufferWaterMark();
    // Both distances are one more than the bytes up to the mark, but 0 on a closed channel.
    long pending =
        channel.isWritable()
            ? marks.high() + 1 - channel.bytesBeforeUnwritable()
            : marks.low() - 1 + channel.bytesBeforeWritable();
    return channel.isOpen() ? Math.max(0, pending) : 0;
  }

  private static long requestBytes(CallerRequest request) {
    return headBytes(request) + request.body().heldBytes();
  }

  private static long headBytes(CallerRequest request) {
    long bytes = REQUEST_OVERHEAD_BYTES + request.target().length();
    var fields = request.headers().iteratorCharSequence();
    while (fields.hasNext()) {
      Map.Entry<CharSequence, CharSequence> field = fields.next();
      int length = field.getKey().length() + field.getValue().length();
      bytes += HEADER_COPIES * (FIELD_OVERHEAD_BYTES + length);
    }
    return bytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (closing && !(reading instanceof Reading.Streaming)) {
        return;
      }
      if (message instanceof HttpRequest request) {
        headRead(request);
      }
      if (message instanceof HttpContent content) {
        contentRead(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void headRead(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      Throwable cause = request.decoderResult().cause();
      // The message may quote a line with an API key, so only the type of the error is logged.
      reject(
          CallerRequestFactory.statusOf(cause),
          "malformed request head: " + cause.getClass().getSimpleName());
      return;
    }
    String error = CallerRequestFactory.validationError(request);
    if (!error.isEmpty()) {
      reject(HttpResponseStatus.BAD_REQUEST, error);
      return;
    }
    long contentLength = HttpUtil.getContentLength(request, 0L);
    if (contentLength > maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request body exceeds the size limit");
      return;
    }
    boolean chunked = HttpUtil.isTransferEncodingChunked(request);
    boolean last =
        !HttpUtil.isKeepAlive(request)
            || request.protocolVersion().equals(VERSION_WITHOUT_KEEP_ALIVE);
    CallerRequest callerRequest =
        requestFactory.create(
            request, new RequestBody(chunked, chunked ? maxBodyBytes() : contentLength));
    switch (proxy.accept(callerRequest)) {
      case RequestAcceptance.Refused refused -> {
        boolean bodyFollows = chunked || contentLength > 0;
        boolean discardable =
            !chunked
                && contentLength <= RequestBody.MAX_WHOLE_BYTES
                && !HttpUtil.is100ContinueExpected(request);
        refuse(callerRequest, refused, bodyFollows, last || (bodyFollows && !discardable));
      }
      case RequestAcceptance.Accepted accepted -> {
        reading = new Reading.Body(callerRequest, accepted, last);
        if (HttpUtil.is100ContinueExpected(request)) {
          Channels.writeAndFlush(
              channel,
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
      }
    }
  }

  private long maxBodyBytes() {
    return proxy.snapshot().configuration().limits().maxBodyBytes();
  }

  /** Responds to a request that is not accepted, before its body was received. */
  private void refuse(
      CallerRequest request,
      RequestAcceptance.Refused refused,
      boolean bodyFollows,
      boolean lastRequest) {
    reading = new Reading.Discarding(bodyFollows);
    discardedBytes = 0;
    closing = closing || lastRequest;
    var slot = addSlot(request, lastRequest, headBytes(request));
    var exchange = new ProxyExchange(proxy, request, slot);
    exchanges.put(slot, exchange);
    exchange.start(refused);
  }

  private ResponseSlot addSlot(CallerRequest request, boolean lastRequest, long requestBytes) {
    var slot = new ResponseSlot(this, request.method().equals("HEAD"), lastRequest, requestBytes);
    slots.add(slot);
    return slot;
  }

  private void contentRead(HttpContent content) {
    switch (reading) {
      case Reading.Nothing nothing -> {}
      case Reading.Head head -> {}
      case Reading.Body body -> bodyRead(body, content);
      case Reading.Streaming streaming -> streamRead(streaming, content);
      case Reading.Discarding discarding -> {
        if (content instanceof LastHttpContent) {
          reading = new Reading.Nothing();
        }
      }
    }
  }

  private void bodyRead(Reading.Body body, HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST, "malformed request body");
      return;
    }
    RequestBody received = body.request().body();
    received.append(content.content());
    if (received.receivedBytes() > maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request body exceeds the size limit");
      return;
    }
    boolean complete = content instanceof LastHttpContent;
    if (!complete && received.receivedBytes() <= RequestBody.MAX_WHOLE_BYTES) {
      return;
    }
    long requestBytes = complete ? requestBytes(body.request()) : headBytes(body.request());
    var slot = addSlot(body.request(), body.lastRequest(), requestBytes);
    var exchange = new ProxyExchange(proxy, body.request(), slot);
    exchanges.put(slot, exchange);
    if (complete) {
      received.complete();
      requestRead(slot);
    } else {
      received.onUnblocked(this::scheduleResume);
      reading = new Reading.Streaming(body.request(), slot, exchange);
    }
    exchange.start(body.acceptance());
  }

  private void requestRead(ResponseSlot slot) {
    reading = new Reading.Nothing();
    if (slot.isLastRequest()) {
      closing = true;
    }
  }

  private void streamRead(Reading.Streaming streaming, HttpContent content) {
    RequestBody body = streaming.request().body();
    if (content.decoderResult().isFailure()) {
      streaming
          .exchange()
          .bodyRejected(HttpResponseStatus.BAD_REQUEST.code(), "malformed request body");
      return;
    }
    body.append(content.content());
    if (body.receivedBytes() > maxBodyBytes()) {
      streaming
          .exchange()
          .bodyRejected(
              HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(),
              "request body exceeds the size limit");
      return;
    }
    if (content instanceof LastHttpContent) {
      requestRead(streaming.slot());
      body.complete();
    }
  }

  /**
   * Responds to a malformed request and closes the connection, because the start of the next
   * request cannot be determined.
   */
  private void reject(HttpResponseStatus status, String reason) {
    proxy.events().malformedRequest(status.code(), reason);
    releaseBody();
    reading = new Reading.Discarding(true);
    discardedBytes = 0;
    var slot = new ResponseSlot(this, false, true, 0);
    slots.add(slot);
    closing = true;
    slot.writeFull(
        status.code(),
        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
        Unpooled.EMPTY_BUFFER);
  }

  private void releaseBody() {
    if (reading instanceof Reading.Body body) {
      body.request().body().release();
    }
  }

  boolean isFirst(ResponseSlot slot) {
    return slots.peekFirst() == slot;
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /**
   * Returns whether the connection closes after the given response. It does if the body of the
   * request has not been read whole. While the daemon is stopping, the response to the newest
   * request is the last one, and later requests are not read.
   */
  boolean closesAfter(ResponseSlot slot) {
    if (slot.isLastRequest()) {
      return true;
    }
    if (reading instanceof Reading.Streaming streaming && streaming.slot() == slot) {
      closing = true;
    }
    if (server.isStopping() && slots.peekLast() == slot && !isReceiving()) {
      closing = true;
    }
    return closing && slots.peekLast() == slot;
  }

  private boolean isReceiving() {
    return switch (reading) {
      case Reading.Nothing nothing -> false;
      case Reading.Discarding discarding -> false;
      case Reading.Head head -> true;
      case Reading.Body body -> true;
      case Reading.Streaming streaming -> true;
    };
  }

  void write(Object part) {
    lastActivityNanos = System.nanoTime();
    Channels.write(channel, part);
  }

  void responseEnded(ResponseSlot slot) {
    exchanges.remove(slot);
    if (reading instanceof Reading.Streaming streaming && streaming.slot() == slot) {
      reading = new Reading.Discarding(true);
      discardedBytes = 0;
      closing = true;
    }
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
    if (slots.isEmpty() && closing) {
      closeAfterResponse();
    } else {
      channel.flush();
    }
    heldBytesChanged();
    scheduleResume();
  }

  /**
   * Closes the connection after the last response. While the caller still sends a body, only the
   * outbound direction is closed first: a reset could reach the caller before the response.
   */
  private void closeAfterResponse() {
    boolean bodyFollows =
        reading instanceof Reading.Discarding discarding && discarding.bodyFollows();
    if (!bodyFollows) {
      Channels.closeAfterWrites(channel);
      return;
    }
    lingering = true;
    lingerStartNanos = System.nanoTime();
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              var unused = ((DuplexChannel) channel).shutdownOutput();
            });
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
    scheduleResume();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closed = true;
    server.connectionClosed(this);
    releaseBody();
    reading = new Reading.Nothing();
    new ArrayList<>(exchanges.values()).forEach(ProxyExchange::callerDisconnected);
    exchanges.clear();
    slots.forEach(s -> s.pendingParts().forEach(ReferenceCountUtil::release));
    slots.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Channels.close(context.channel());
  }

  /** Closes a connection without progress and rejects an incomplete request after its time. */
  void checkTimeouts(long nowNanos, CallerLimits limits) {
    heldBytesChanged();
    long idleNanos = limits.idleTimeout().toNanos();
    if (!isTakingResponses(nowNanos, idleNanos)
        || (lingering && nowNanos - lingerStartNanos > MAX_LINGER.toNanos())) {
      close();
      return;
    }
    switch (reading) {
      case Reading.Nothing nothing -> closeIfIdle(nowNanos - lastActivityNanos > idleNanos);
      case Reading.Discarding discarding -> closeIfIdle(nowNanos - lastActivityNanos > idleNanos);
      case Reading.Head head ->
          rejectIf(nowNanos - head.sinceNanos() > limits.headerTimeout().toNanos());
      case Reading.Body body -> rejectIf(nowNanos - lastReadNanos > idleNanos);
      case Reading.Streaming streaming -> checkStall(streaming, nowNanos, idleNanos);
    }
  }

  private boolean isTakingResponses(long nowNanos, long idleNanos) {
    long bytes = outboundBytes();
    if (bytes == 0 || bytes != unsentBytes) {
      unsentBytes = bytes;
      lastWriteNanos = nowNanos;
    }
    return nowNanos - lastWriteNanos <= idleNanos;
  }

  private void closeIfIdle(boolean timedOut) {
    if (timedOut && slots.isEmpty()) {
      close();
    }
  }

  private void rejectIf(boolean timedOut) {
    if (timedOut) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "request not received within the time limit");
    }
  }

  private void checkStall(Reading.Streaming streaming, long nowNanos, long idleNanos) {
    if (streaming.request().body().isBlocked()) {
      return;
    }
    boolean blocksOthers = streaming.exchange().blocksOthers();
    long limitNanos = blocksOthers ? MAX_BLOCKING_STALL.toNanos() : idleNanos;
    if (nowNanos - lastReadNanos > limitNanos) {
      streaming.exchange().bodyStalled();
    }
  }

  /** Closes the connection if no request is in progress or partly received. */
  void closeIfIdle() {
    if (slots.isEmpty() && !isReceiving() && !lingering) {
      closing = true;
      // The end of the last response may not have been flushed yet.
      Channels.closeAfterWrites(channel);
    }
  }

  /** Returns how the connection is used, for the choice of one that a new one replaces. */
  ConnectionLimit.Candidate<CallerConnection> asCandidate() {
    if (!slots.isEmpty()) {
      return new ConnectionLimit.Candidate<>(this, Use.ANSWERING, lastActivityNanos);
    }
    return switch (reading) {
      case Reading.Nothing nothing when !lingering ->
          new ConnectionLimit.Candidate<>(this, Use.IDLE, lastActivityNanos);
      case Reading.Head head ->
          new ConnectionLimit.Candidate<>(this, Use.RECEIVING, head.sinceNanos());
      case Reading.Body body ->
          new ConnectionLimit.Candidate<>(this, Use.RECEIVING, body.request().receivedNanos());
      case Reading other -> new ConnectionLimit.Candidate<>(this, Use.RECEIVING, lastReadNanos);
    };
  }
}
