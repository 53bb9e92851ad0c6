package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The body of a request. A body that is complete when it is first sent is kept, so that it can be
 * sent again. Otherwise it is streamed: it is passed on as it arrives and never held whole.
 * Confined to the traffic thread.
 */
final class RequestBody {
  /** The maximum length of a body that is read whole before it is sent. */
  static final int MAX_WHOLE_BYTES = 64 << 10;

  /** Shorter pieces are joined; a caller may send chunks of one byte. */
  private static final int MIN_PIECE_BYTES = 8_192;

  private final boolean chunked;
  private final long expectedBytes;
  private Runnable onUnblocked = () -> {};
  private ByteBuf held = Unpooled.buffer(0);
  private UpstreamConnection sink;
  private long receivedBytes;
  private boolean complete;
  private boolean streamed;
  private boolean released;

  /**
   * Creates an empty body.
   *
   * @param chunked whether the caller sends it in chunks, without stating its length
   * @param expectedBytes the length that the caller states, or else the maximum length
   */
  RequestBody(boolean chunked, long expectedBytes) {
    this.chunked = chunked;
    this.expectedBytes = expectedBytes;
  }

  /** Sets what to run when the body is no longer blocked. */
  void onUnblocked(Runnable listener) {
    onUnblocked = listener;
  }

  /** Adds received bytes; the calling method keeps its reference. */
  void append(ByteBuf bytes) {
    receivedBytes += bytes.readableBytes();
    if (released || !bytes.isReadable()) {
      return;
    }
    if (sink != null && !held.isReadable() && bytes.readableBytes() >= MIN_PIECE_BYTES) {
      sink.writeBody(bytes.retain());
      return;
    }
    // Copied, because a slice of a few bytes would keep a whole receive buffer.
    held.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    if (held.readableBytes() >= MIN_PIECE_BYTES) {
      flush();
    }
  }

  /** Passes on what was joined so far, if sending has begun. */
  void flush() {
    if (sink != null && held.isReadable()) {
      ByteBuf piece = held;
      held = Unpooled.buffer(0);
      sink.writeBody(piece);
    }
  }

  /** Marks the end of the body. */
  void complete() {
    complete = true;
    if (sink != null) {
      flush();
      sink.writeBodyEnd();
      sink = null;
    }
  }

  long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the number of bytes that an upstream may have to hold of the body. */
  long bytesToSend() {
    return complete ? receivedBytes : expectedBytes;
  }

  int heldBytes() {
    return held.readableBytes();
  }

  /** Returns whether the body was passed on before its end was received. */
  boolean isStreamed() {
    return streamed;
  }

  /** Returns whether the whole body can be sent, for the first time or again. */
  boolean isSendable() {
    return !streamed;
  }

  /** Returns whether no more bytes may be read from the caller for now. */
  boolean isBlocked() {
    if (released) {
      return false;
    }
    return sink == null ? held.readableBytes() >= MAX_WHOLE_BYTES : !sink.isWritable();
  }

  /** Sets the headers that state where the body ends. */
  void setFraming(HttpHeaders headers) {
    if (!complete && chunked) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (complete
        && (receivedBytes > 0 || headers.contains(HttpHeaderNames.CONTENT_LENGTH))) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, receivedBytes);
    }
  }

  /** Sends the body, or what there is of it, and then the rest as it arrives. */
  void sendTo(UpstreamConnection connection) {
    if (complete) {
      connection.writeWholeBody(held.retainedDuplicate());
      return;
    }
    streamed = true;
    sink = connection;
    connection.beginBody();
    flush();
    unblocked();
  }

  /** Tells the caller's connection that more may be read. */
  void unblocked() {
    if (!isBlocked()) {
      onUnblocked.run();
    }
  }

  /** Discards the body and what arrives of it from now on. */
  void release() {
    if (released) {
      return;
    }
    released = true;
    sink = null;
    held.release();
    held = Unpooled.EMPTY_BUFFER;
  }
}
