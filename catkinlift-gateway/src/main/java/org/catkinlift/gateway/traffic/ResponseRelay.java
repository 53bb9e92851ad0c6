package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;

/**
 * Takes an upstream's answer and passes it on to the caller. A short answer is held until it is
 * whole, so that a broken one can be repeated; a long one is passed on as it comes. Confined to the
 * traffic thread.
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

  /** How far an answer has come. */
  enum Progress {
    /** More is to come. */
    INCOMPLETE,
    /** The answer is whole, and none of it has left. */
    BUFFERED,
    /** The answer is whole, and all of it has been written to the caller. */
    STREAMED
  }

  ResponseRelay(ReverseProxy proxy, ResponseSlot slot, String requestId) {
    this.proxy = proxy;
    this.slot = slot;
    this.requestId = requestId;
  }

  /** Expects an answer on a connection. */
  void attach(UpstreamConnection newConnection) {
    connection = newConnection;
    head = null;
  }

  /** Notes that nothing more comes from the connection. */
  void detach() {
    connection = null;
  }

  /** Tells whether part of the answer has left, so that it cannot be replaced. */
  boolean isStreaming() {
    return streaming;
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

  /** Takes part of the body; the bytes are this relay's to release. */
  Progress contentReceived(ByteBuf bytes, boolean last) {
    if (streaming) {
      return stream(bytes, last);
    }
    if (buffered == null) {
      buffered = proxy.allocator().compositeBuffer();
    }
    buffered.addComponent(true, bytes);
    if (last) {
      return Progress.BUFFERED;
    }
    if (buffered.readableBytes() > MAX_BUFFERED_BYTES && head.isForwardable()) {
      startStreaming();
    }
    return Progress.INCOMPLETE;
  }

  /** Returns the whole body and leaves it to the caller of this method. */
  ByteBuf takeBody() {
    ByteBuf body = buffered;
    buffered = null;
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

  /** Forgets what has come so far. */
  void discard() {
    if (buffered != null) {
      ReferenceCountUtil.release(buffered);
      buffered = null;
    }
    head = null;
  }
}
