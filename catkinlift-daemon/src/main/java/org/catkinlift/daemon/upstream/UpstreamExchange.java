package org.catkinlift.daemon.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.catkinlift.daemon.http.Headers;
import org.catkinlift.daemon.http.ShortExchange;
import org.catkinlift.daemon.relay.AttemptDispatcher;
import org.catkinlift.daemon.relay.AttemptListener;
import org.catkinlift.daemon.relay.AttemptStream;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.protocol.RelayHead;

/**
 * Sends the request of one attempt to the upstream and delivers the response. Confined to the event
 * loop of its {@link UpstreamWorker}.
 */
final class UpstreamExchange implements AttemptStream {
  /** After this time, the rest of a refusal is not worth the connection. */
  private static final Duration REFUSAL_BODY_TIMEOUT = Duration.ofSeconds(1);

  private final UpstreamWorker worker;
  private final long attempt;
  private final RelayHead head;
  private final AttemptListener listener;
  private final Deque<Chunk> pendingChunks = new ArrayDeque<>();

  private State state = State.QUEUED;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private long sentNanos;
  private long connection;
  private int receiveWindow = AttemptDispatcher.WINDOW_BYTES;

  /** The progress of an attempt. */
  private enum State {
    QUEUED,
    CONNECTING,
    SENT,
    RESPONDING,
    ENDED
  }

  private record Chunk(Buffer data, boolean last) {}

  UpstreamExchange(UpstreamWorker worker, long attempt, RelayHead head, AttemptListener listener) {
    this.worker = worker;
    this.attempt = attempt;
    this.head = head;
    this.listener = listener;
  }

  long attempt() {
    return attempt;
  }

  RelayHead head() {
    return head;
  }

  long sentNanos() {
    return sentNanos;
  }

  long connection() {
    return connection;
  }

  /** Records that a connection is being acquired; nothing has been sent yet. */
  void connecting() {
    state = State.CONNECTING;
  }

  /** Writes the request to the upstream. */
  void send(HttpClientRequest opened, long connectionNumber, long nowNanos) {
    if (state == State.ENDED) {
      var unused = opened.reset();
      return;
    }
    state = State.SENT;
    request = opened;
    connection = connectionNumber;
    sentNanos = nowNanos;
    request.exceptionHandler(failure -> {});
    request
        .response()
        .onComplete(this::responseStarted, failure -> fail(RefusalCode.CONNECTION_LOST));
    if (head.hasBody()) {
      listener.creditGranted(AttemptDispatcher.WINDOW_BYTES);
      pendingChunks.forEach(this::write);
      pendingChunks.clear();
      return;
    }
    var unused = request.end();
  }

  @Override
  public void sendBody(Buffer data, boolean last) {
    var chunk = new Chunk(data, last);
    switch (state) {
      case QUEUED, CONNECTING -> pendingChunks.add(chunk);
      case SENT, RESPONDING -> write(chunk);
      case ENDED -> {}
    }
  }

  private void write(Chunk chunk) {
    if (chunk.data().length() > 0) {
      int length = chunk.data().length();
      request.write(chunk.data()).onSuccess(written -> listener.creditGranted(length));
    }
    if (chunk.last()) {
      var unused = request.end();
    }
  }

  private void responseStarted(HttpClientResponse received) {
    if (state != State.SENT) {
      return;
    }
    response = received;
    if (!ShortExchange.isFinal(received) || !worker.acceptsResponse(this, received)) {
      fail(RefusalCode.CONNECTION_LOST);
      return;
    }
    if (Headers.NOT_RUN.equals(received.getHeader(Headers.OUTCOME))) {
      handleRefusal(received);
      return;
    }
    state = State.RESPONDING;
    listener.headReceived(received.statusCode(), Headers.forwarded(received.headers()));
    received.exceptionHandler(failure -> fail(RefusalCode.CONNECTION_LOST));
    received.handler(this::responseBodyReceived);
    received.endHandler(end -> responseEnded());
  }

  private void handleRefusal(HttpClientResponse refusal) {
    state = State.ENDED;
    ShortExchange.discard(refusal, REFUSAL_BODY_TIMEOUT);
    AttemptResult result = RefusalStatus.resultOf(refusal.statusCode());
    listener.failed(
        Outcome.notRun(RefusalStatus.codeOf(refusal.statusCode()), worker.retryAfter()));
    worker.attemptEnded(this, result);
  }

  private void responseBodyReceived(Buffer data) {
    receiveWindow -= data.length();
    if (receiveWindow <= 0) {
      response.pause();
    }
    listener.bodyReceived(data, false);
  }

  private void responseEnded() {
    if (state == State.ENDED) {
      return;
    }
    state = State.ENDED;
    listener.bodyReceived(Buffer.buffer(), true);
    worker.responseCompleted(this, response.getHeader(Headers.INSTANCE));
  }

  @Override
  public void grantCredit(int bytes) {
    receiveWindow += bytes;
    if (receiveWindow > 0 && response != null && state == State.RESPONDING) {
      response.resume();
    }
  }

  @Override
  public void cancel() {
    switch (state) {
      case QUEUED, CONNECTING, SENT, RESPONDING -> worker.cancelled(this);
      case ENDED -> {}
    }
  }

  /** Refuses the attempt before anything was sent. */
  void refuse(Outcome.NotRun outcome) {
    if (state == State.ENDED) {
      return;
    }
    state = State.ENDED;
    listener.failed(outcome);
  }

  /** Fails the attempt; if it was sent, whether the upstream executed it is unknown. */
  void fail(RefusalCode code) {
    if (state == State.ENDED) {
      return;
    }
    boolean sent = state == State.SENT || state == State.RESPONDING;
    abort();
    if (!sent) {
      listener.failed(Outcome.notRun(code, worker.retryAfter()));
      worker.attemptEnded(this, new AttemptResult.Refused(code));
      return;
    }
    listener.failed(Outcome.unknown(code));
    worker.attemptEnded(this, new AttemptResult.Failed(code));
  }

  /** Ends the attempt and resets its request without notifying the listener. */
  void abort() {
    state = State.ENDED;
    if (request != null) {
      var unused = request.reset();
    }
  }

  boolean wasSent() {
    return request != null;
  }
}
