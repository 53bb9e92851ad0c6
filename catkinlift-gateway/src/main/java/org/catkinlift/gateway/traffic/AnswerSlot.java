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
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The place of one answer on a caller's connection. Answers leave in the order of their requests;
 * what is written before its turn waits here.
 */
final class AnswerSlot {
  private static final int MOST_WAITING_BYTES = 256 << 10;

  private final CallerConnection connection;
  private final boolean headOnly;
  private final boolean lastRequest;
  private final Deque<Object> waiting = new ArrayDeque<>();
  private int waitingBytes;
  private boolean ended;
  private boolean begun;
  private Runnable onWritable = () -> {};

  AnswerSlot(CallerConnection connection, boolean headOnly, boolean lastRequest) {
    this.connection = connection;
    this.headOnly = headOnly;
    this.lastRequest = lastRequest;
  }

  /** Tells whether the caller closes the connection after this answer. */
  boolean isLastRequest() {
    return lastRequest;
  }

  boolean isEnded() {
    return ended;
  }

  Deque<Object> waiting() {
    return waiting;
  }

  /** Writes a whole answer. */
  void answer(int status, HttpHeaders headers, ByteBuf body) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    begin(status, headers);
    part(body);
    end();
  }

  /** Writes the head of an answer; without a length, the body is sent in chunks. */
  void begin(int status, HttpHeaders headers) {
    begun = true;
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

  boolean isBegun() {
    return begun;
  }

  /** Writes part of a body. */
  void part(ByteBuf bytes) {
    if (headOnly || !bytes.isReadable()) {
      bytes.release();
      return;
    }
    waitingBytes += bytes.readableBytes();
    write(new DefaultHttpContent(bytes));
  }

  /** Ends the answer. */
  void end() {
    ended = true;
    write(LastHttpContent.EMPTY_LAST_CONTENT);
    connection.slotEnded(this);
  }

  /** Breaks off an answer whose head was sent, so that it does not look complete. */
  void abort() {
    ended = true;
    connection.breakOff();
  }

  boolean isWritable() {
    return connection.isFirst(this) ? connection.isWritable() : waitingBytes < MOST_WAITING_BYTES;
  }

  void onWritable(Runnable listener) {
    onWritable = listener;
  }

  void flush() {
    connection.flush();
  }

  void writable() {
    onWritable.run();
  }

  private void write(Object part) {
    if (connection.isFirst(this)) {
      connection.write(part);
    } else {
      waiting.add(part);
    }
  }

  static ByteBuf noBody() {
    return Unpooled.EMPTY_BUFFER;
  }
}
