package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;

/**
 * Forwards an upstream's response to the caller. A short response is buffered until it is complete,
 * so that the request can be retried if the response is truncated; a longer one is streamed.
 * Confined to the traffic thread.
 */
final class ResponseRelay {
  private static final int MAX_BUFFERED_BYTES = 64 << 10;

  private final ReverseProxy proxy;
  private final ResponseSlot slot;
  private final String requestId;

  private UpstreamConnection connection;
  private ResponseHead head;
  private CompositeByteBuf buffered;
  private boolean streaming;
  private long receivedBytes;

  /** The progress of forwarding a response. */
  enum Progress {
    /** More content is expected. */
    INCOMPLETE,
    /** The response is longer than one that is not forwarded may be. */
    TOO_LONG,
    /** The response is complete and buffered; nothing has been written to the caller. */
    BUFFERED,
    /** The response is complete, and all of it has been written to the caller. */
    STREAMED
  }

  ResponseRelay(ReverseProxy proxy, ResponseSlot slot, String requestId) {
    this.proxy = proxy;
    this.slot = slot;
    this.requestId = requestId;
  }

  /** Expects the response on the given connection. */
  void attach(UpstreamConnection newConnection) {
    connection = newConnection;
    head = null;
    receivedBytes = 0;
  }

  /** Drops the reference to the connection, which delivers no more content. */
  void detach() {
    connection = null;
  }

  /** Returns whether part of the response was written, so that the request cannot be retried. */
  boolean isStreaming() {
    return streaming;
  }

  /** Returns the number of bytes of the body received so far. */
  long receivedBytes() {
    return receivedBytes;
  }

  boolean hasHead() {
    return head != null;
  }

  ResponseHead head() {
    return head;
  }

  void headReceived(HttpResponse response) {
    head = new ResponseHead(response, proxy.settings().headers());
    buffered = null;
  }

  /** Accepts part of the body and takes ownership of the buffer. */
  Progress contentReceived(ByteBuf bytes, boolean last) {
    receivedBytes += bytes.readableBytes();
    if (streaming) {
      return stream(bytes, last);
    }
    if (buffered == null) {
      buffered = proxy.allocator().compositeBuffer();
    }
    buffered.addComponent(true, bytes);
    slot.setBufferedBytes(buffered.readableBytes());
    if (last) {
      return Progress.BUFFERED;
    }
    if (buffered.readableBytes() <= MAX_BUFFERED_BYTES) {
      return Progress.INCOMPLETE;
    }
    if (!head.isForwardable()) {
      return Progress.TOO_LONG;
    }
    startStreaming();
    return Progress.INCOMPLETE;
  }

  /** Returns the buffered body; the calling method must release it. */
  ByteBuf takeBody() {
    ByteBuf body = buffered;
    buffered = null;
    slot.setBufferedBytes(0);
    return body;
  }

  private void startStreaming() {
    streaming = true;
    slot.writeHead(head.status(), head.forwardedHeaders(requestId));
    slot.onWritable(this::resumeUpstream);
    slot.writeContent(takeBody());
    pauseUpstreamIfNotWritable();
  }

  private Progress stream(ByteBuf bytes, boolean last) {
    slot.writeContent(bytes);
    if (last) {
      return Progress.STREAMED;
    }
    pauseUpstreamIfNotWritable();
    return Progress.INCOMPLETE;
  }

  private void pauseUpstreamIfNotWritable() {
    if (!slot.isWritable() && connection != null) {
      connection.setReading(false);
    }
    slot.flush();
  }

  private void resumeUpstream() {
    if (connection != null) {
      connection.setReading(true);
    }
  }

  /** Discards the head and content received so far. */
  void discard() {
    if (buffered != null) {
      ReferenceCountUtil.release(buffered);
      buffered = null;
      slot.setBufferedBytes(0);
    }
    streaming = false;
    head = null;
  }
}
