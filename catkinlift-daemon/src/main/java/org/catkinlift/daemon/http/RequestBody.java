package org.catkinlift.daemon.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import org.catkinlift.daemon.relay.DispatchEnd;

/**
 * Reads the body of a caller's request as far as the dispatcher gives credit.
 *
 * <p>The first bytes are kept, so that a request that was refused after its body was sent can be
 * sent again. A longer body is not kept, to bound the memory of a request.
 */
final class RequestBody {
  private static final int REPLAY_LIMIT_BYTES = 64 * 1024;

  private final HttpServerRequest request;
  private final boolean present;
  private final List<Buffer> kept = new ArrayList<>();
  private int keptBytes;
  private boolean replayable = true;
  private boolean ended;
  private DispatchEnd target;
  private int window;
  private int nextKept;
  private boolean lastSent;

  RequestBody(HttpServerRequest request) {
    this.request = request;
    this.present = hasBody(request);
    if (!present) {
      return;
    }
    request.pause();
    request.handler(this::received);
    request.endHandler(v -> endReached());
  }

  private static boolean hasBody(HttpServerRequest request) {
    String length = request.getHeader("Content-Length");
    boolean chunked = request.getHeader("Transfer-Encoding") != null;
    return chunked || (length != null && !length.equals("0"));
  }

  boolean isPresent() {
    return present;
  }

  /** Tells whether another attempt can send the body from its beginning. */
  boolean canReplay() {
    return replayable;
  }

  /** Sends the body to an attempt, from its beginning, once the attempt gives credit. */
  void sendTo(DispatchEnd end) {
    target = end;
    window = 0;
    nextKept = 0;
    lastSent = false;
  }

  void credit(int bytes) {
    window += bytes;
    pump();
  }

  private void pump() {
    while (window > 0 && nextKept < kept.size()) {
      send(kept.get(nextKept++));
    }
    if (nextKept < kept.size()) {
      return;
    }
    if (ended) {
      sendLast();
      return;
    }
    if (window > 0) {
      request.fetch(1);
    }
  }

  private void received(Buffer data) {
    if (replayable && keptBytes + data.length() <= REPLAY_LIMIT_BYTES) {
      kept.add(data);
      keptBytes += data.length();
      pump();
      return;
    }
    if (replayable) {
      replayable = false;
      kept.clear();
      nextKept = 0;
    }
    send(data);
    pump();
  }

  private void endReached() {
    ended = true;
    if (target != null && nextKept == kept.size()) {
      sendLast();
    }
  }

  private void send(Buffer data) {
    window -= data.length();
    target.body(data, false);
  }

  private void sendLast() {
    if (lastSent) {
      return;
    }
    lastSent = true;
    target.body(Buffer.buffer(), true);
  }
}
