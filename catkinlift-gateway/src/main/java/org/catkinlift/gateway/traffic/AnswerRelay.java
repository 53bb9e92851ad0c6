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
final class AnswerRelay {
  private static final int HELD_BYTES = 64 << 10;

  private final Traffic traffic;
  private final AnswerSlot slot;
  private final String requestId;

  private UpstreamConnection connection;
  private AnswerHead head;
  private CompositeByteBuf held;
  private boolean passingOn;

  /** How far an answer has come. */
  enum Progress {
    /** More is to come. */
    INCOMPLETE,
    /** The answer is whole, and none of it has left. */
    HELD,
    /** The answer is whole, and all of it has been written to the caller. */
    PASSED_ON
  }

  AnswerRelay(Traffic traffic, AnswerSlot slot, String requestId) {
    this.traffic = traffic;
    this.slot = slot;
    this.requestId = requestId;
  }

  /** Expects an answer on a connection. */
  void expect(UpstreamConnection from) {
    connection = from;
    head = null;
  }

  /** Notes that nothing more comes from the connection. */
  void detach() {
    connection = null;
  }

  /** Tells whether part of the answer has left, so that it cannot be replaced. */
  boolean isPassingOn() {
    return passingOn;
  }

  boolean hasHead() {
    return head != null;
  }

  AnswerHead head() {
    return head;
  }

  void begins(HttpResponse answer) {
    head = new AnswerHead(answer, traffic.settings().headers());
    held = null;
  }

  /** Takes part of the body; the bytes are this relay's to release. */
  Progress continues(ByteBuf bytes, boolean last) {
    if (passingOn) {
      return passOn(bytes, last);
    }
    if (held == null) {
      held = traffic.allocator().compositeBuffer();
    }
    held.addComponent(true, bytes);
    if (last) {
      return Progress.HELD;
    }
    if (held.readableBytes() > HELD_BYTES && head.isFinal()) {
      beginPassingOn();
    }
    return Progress.INCOMPLETE;
  }

  /** Returns the whole body and leaves it to the caller of this method. */
  ByteBuf takeBody() {
    ByteBuf body = held;
    held = null;
    return body;
  }

  private void beginPassingOn() {
    passingOn = true;
    slot.begin(head.status(), head.headersFor(requestId));
    slot.onWritable(this::resume);
    slot.part(takeBody());
    pauseIfFull();
  }

  private Progress passOn(ByteBuf bytes, boolean last) {
    slot.part(bytes);
    if (last) {
      return Progress.PASSED_ON;
    }
    pauseIfFull();
    return Progress.INCOMPLETE;
  }

  private void pauseIfFull() {
    if (!slot.isWritable() && connection != null) {
      connection.setReading(false);
    }
    slot.flush();
  }

  private void resume() {
    if (connection != null) {
      connection.setReading(true);
    }
  }

  /** Forgets what has come so far. */
  void discard() {
    if (held != null) {
      ReferenceCountUtil.release(held);
      held = null;
    }
    head = null;
  }
}
