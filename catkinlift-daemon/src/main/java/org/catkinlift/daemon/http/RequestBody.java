package org.catkinlift.daemon.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import org.catkinlift.daemon.relay.AttemptStream;

/**
 * Reads the body of a caller's request and forwards it within the credit that the dispatcher
 * grants.
 *
 * <p>A short body is buffered, so that a request that is refused after its body was sent can be
 * retried. A longer body is not buffered, which bounds the memory of a request.
 */
final class RequestBody {
  private static final int REPLAY_LIMIT_BYTES = 64 * 1024;

  private final HttpServerRequest request;
  private final boolean present;
  private final List<Buffer> bufferedChunks = new ArrayList<>();
  private int bufferedBytes;
  private boolean replayable = true;
  private boolean ended;
  private AttemptStream stream;
  private int sendWindow;
  private int nextChunk;
  private boolean endSent;

  RequestBody(HttpServerRequest request) {
    this.request = request;
    this.present = hasBody(request);
    if (!present) {
      return;
    }
    request.pause();
    request.handler(this::received);
    request.endHandler(v -> endReceived());
  }

  private static boolean hasBody(HttpServerRequest request) {
    String length = request.getHeader("Content-Length");
    boolean chunked = request.getHeader("Transfer-Encoding") != null;
    return chunked || (length != null && !length.equals("0"));
  }

  boolean isPresent() {
    return present;
  }

  /** Returns whether another attempt can send the body from its beginning. */
  boolean canReplay() {
    return replayable;
  }

  /** Sends the body from its beginning to an attempt, once the attempt grants credit. */
  void sendTo(AttemptStream newStream) {
    stream = newStream;
    sendWindow = 0;
    nextChunk = 0;
    endSent = false;
  }

  void creditGranted(int bytes) {
    sendWindow += bytes;
    pump();
  }

  private void pump() {
    while (sendWindow > 0 && nextChunk < bufferedChunks.size()) {
      send(bufferedChunks.get(nextChunk++));
    }
    if (nextChunk < bufferedChunks.size()) {
      return;
    }
    if (ended) {
      sendEnd();
      return;
    }
    if (sendWindow > 0) {
      request.fetch(1);
    }
  }

  private void received(Buffer data) {
    if (replayable && bufferedBytes + data.length() <= REPLAY_LIMIT_BYTES) {
      bufferedChunks.add(data);
      bufferedBytes += data.length();
      pump();
      return;
    }
    if (replayable) {
      replayable = false;
      bufferedChunks.clear();
      nextChunk = 0;
    }
    send(data);
    pump();
  }

  private void endReceived() {
    ended = true;
    if (stream != null && nextChunk == bufferedChunks.size()) {
      sendEnd();
    }
  }

  private void send(Buffer data) {
    sendWindow -= data.length();
    stream.sendBody(data, false);
  }

  private void sendEnd() {
    if (endSent) {
      return;
    }
    endSent = true;
    stream.sendBody(Buffer.buffer(), true);
  }
}
