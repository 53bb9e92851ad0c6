package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The position of one response on a caller's connection. Responses are written in the order of
 * their requests; parts of a response whose turn has not come are queued here.
 */
final class ResponseSlot {
  private static final int MAX_PENDING_BYTES = 256 << 10;

  /** The memory that a pending part takes besides its bytes; an upstream may send short ones. */
  private static final int PART_OVERHEAD_BYTES = 256;

  private final CallerConnection connection;
  private final boolean headOnly;
  private final boolean lastRequest;
  private final Deque<Object> pendingParts = new ArrayDeque<>();
  private final long requestBytes;
  private int pendingBytes;
  private int bufferedBytes;
  private boolean ended;
  private boolean headWritten;
  private Runnable onWritable = () -> {};

  /**
   * Creates the position of a response.
   *
   * @param connection the connection
   * @param headOnly whether the response has no body
   * @param lastRequest whether the connection is to be closed after the response
   * @param requestBytes the memory that the request takes until the response has ended
   */
  ResponseSlot(
      CallerConnection connection, boolean headOnly, boolean lastRequest, long requestBytes) {
    this.requestBytes = requestBytes;
    this.connection = connection;
    this.headOnly = headOnly;
    this.lastRequest = lastRequest;
  }

  /** Returns whether the connection is to be closed after this response. */
  boolean isLastRequest() {
    return lastRequest;
  }

  boolean isEnded() {
    return ended;
  }

  /** Returns the memory that the request and the unsent parts of its response take. */
  long heldBytes() {
    long unsentBytes = connection.isFirst(this) ? 0 : pendingBytes;
    return unsentBytes + bufferedBytes + (ended ? 0 : requestBytes);
  }

  /** Records the bytes of the response that are held until it is complete. */
  void setBufferedBytes(int bytes) {
    bufferedBytes = bytes;
    connection.heldBytesChanged();
  }

  Deque<Object> pendingParts() {
    return pendingParts;
  }

  /** Writes a complete response. */
  void writeFull(int status, HttpHeaders headers, ByteBuf body) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    writeHead(status, headers);
    writeContent(body);
    end();
  }

  /** Writes the response head; without a content length, the body is sent chunked. */
  void writeHead(int status, HttpHeaders headers) {
    headWritten = true;
    boolean noBody = status == 204 || status == 304;
    if (!noBody && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    if (connection.closesAfter(this)) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    write(
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
  }

  boolean isHeadWritten() {
    return headWritten;
  }

  /** Writes part of the body and takes ownership of the buffer. */
  void writeContent(ByteBuf bytes) {
    if (headOnly || !bytes.isReadable()) {
      bytes.release();
      return;
    }
    pendingBytes += bytes.readableBytes() + PART_OVERHEAD_BYTES;
    write(new DefaultHttpContent(bytes));
  }

  /** Completes the response. */
  void end() {
    ended = true;
    write(LastHttpContent.EMPTY_LAST_CONTENT);
    connection.responseEnded(this);
  }

  /**
   * Closes the connection in the middle of a response, so that the caller does not take the
   * response for complete.
   */
  void abort() {
    ended = true;
    connection.close();
  }

  /**
   * Discards the response if none of it was sent, because earlier responses are not complete.
   * Another response can then be written.
   *
   * @return whether the response was discarded
   */
  boolean discardUnsent() {
    if (connection.isFirst(this)) {
      return false;
    }
    pendingParts.forEach(ReferenceCountUtil::release);
    pendingParts.clear();
    pendingBytes = 0;
    headWritten = false;
    return true;
  }

  boolean isWritable() {
    return connection.isFirst(this) ? connection.isWritable() : pendingBytes < MAX_PENDING_BYTES;
  }

  void onWritable(Runnable listener) {
    onWritable = listener;
  }

  void flush() {
    connection.flush();
  }

  void notifyWritable() {
    onWritable.run();
  }

  private void write(Object part) {
    if (connection.isFirst(this)) {
      connection.write(part);
    } else {
      pendingParts.add(part);
    }
  }

  static ByteBuf emptyBody() {
    return Unpooled.EMPTY_BUFFER;
  }
}
