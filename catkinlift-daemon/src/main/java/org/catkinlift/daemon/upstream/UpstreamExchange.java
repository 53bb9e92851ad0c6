package org.catkinlift.daemon.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import org.catkinlift.daemon.http.Headers;
import org.catkinlift.daemon.relay.DispatchEnd;
import org.catkinlift.daemon.relay.Dispatching;
import org.catkinlift.daemon.relay.EntryEnd;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.protocol.RelayHead;

/**
 * Carries one attempt between its entry side and the upstream. Confined to the event loop of its
 * {@link UpstreamWorker}.
 */
final class UpstreamExchange implements DispatchEnd {
  private final UpstreamWorker worker;
  private final long attempt;
  private final RelayHead head;
  private final EntryEnd entry;
  private final Deque<Chunk> waiting = new ArrayDeque<>();

  private State state = State.QUEUED;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private long sentNanos;
  private long connection;
  private int window = Dispatching.WINDOW_BYTES;

  /** How far the attempt has come. */
  private enum State {
    QUEUED,
    CONNECTING,
    SENT,
    ANSWERING,
    ENDED
  }

  private record Chunk(Buffer data, boolean last) {}

  UpstreamExchange(UpstreamWorker worker, long attempt, RelayHead head, EntryEnd entry) {
    this.worker = worker;
    this.attempt = attempt;
    this.head = head;
    this.entry = entry;
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

  /** Notes that a connection is being sought; nothing has left this daemon yet. */
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
        .onComplete(this::answerBegins, failure -> failed(RefusalCode.CONNECTION_LOST));
    if (head.hasBody()) {
      entry.credit(Dispatching.WINDOW_BYTES);
      waiting.forEach(this::write);
      waiting.clear();
      return;
    }
    var unused = request.end();
  }

  @Override
  public void body(Buffer data, boolean last) {
    var chunk = new Chunk(data, last);
    switch (state) {
      case QUEUED, CONNECTING -> waiting.add(chunk);
      case SENT, ANSWERING -> write(chunk);
      case ENDED -> {}
    }
  }

  private void write(Chunk chunk) {
    if (chunk.data().length() > 0) {
      int length = chunk.data().length();
      request.write(chunk.data()).onSuccess(written -> entry.credit(length));
    }
    if (chunk.last()) {
      var unused = request.end();
    }
  }

  private void answerBegins(HttpClientResponse answer) {
    if (state != State.SENT) {
      return;
    }
    response = answer;
    if (!worker.accepts(this, answer)) {
      failed(RefusalCode.CONNECTION_LOST);
      return;
    }
    if (Headers.NOT_RUN.equals(answer.getHeader(Headers.OUTCOME))) {
      notRun(answer);
      return;
    }
    state = State.ANSWERING;
    entry.head(answer.statusCode(), Headers.forwarded(answer.headers()));
    answer.exceptionHandler(failure -> failed(RefusalCode.CONNECTION_LOST));
    answer.handler(this::answerContinues);
    answer.endHandler(end -> answerEnds());
  }

  private void notRun(HttpClientResponse answer) {
    state = State.ENDED;
    answer.resume();
    AttemptResult result = RefusalStatus.resultOf(answer.statusCode());
    entry.failed(Outcome.notRun(RefusalStatus.codeOf(answer.statusCode()), worker.retryAfter()));
    worker.ended(this, result);
  }

  private void answerContinues(Buffer data) {
    window -= data.length();
    if (window <= 0) {
      response.pause();
    }
    entry.body(data, false);
  }

  private void answerEnds() {
    if (state == State.ENDED) {
      return;
    }
    state = State.ENDED;
    entry.body(Buffer.buffer(), true);
    worker.answered(this, response.getHeader(Headers.INSTANCE));
  }

  @Override
  public void credit(int bytes) {
    window += bytes;
    if (window > 0 && response != null && state == State.ANSWERING) {
      response.resume();
    }
  }

  @Override
  public void cancel() {
    switch (state) {
      case QUEUED, CONNECTING, SENT, ANSWERING -> worker.cancelled(this);
      case ENDED -> {}
    }
  }

  /** Ends the attempt before anything was sent. */
  void refuse(Outcome.NotRun outcome) {
    if (state == State.ENDED) {
      return;
    }
    state = State.ENDED;
    entry.failed(outcome);
  }

  /** Ends the attempt after it was sent; whether the request ran is not known. */
  void failed(RefusalCode code) {
    if (state == State.ENDED) {
      return;
    }
    boolean sent = state == State.SENT || state == State.ANSWERING;
    drop();
    if (!sent) {
      entry.failed(Outcome.notRun(code, worker.retryAfter()));
      worker.ended(this, new AttemptResult.Refused(code));
      return;
    }
    entry.failed(Outcome.unknown(code));
    worker.ended(this, new AttemptResult.Failed(code));
  }

  /** Ends the attempt without telling the entry side, which has gone. */
  void drop() {
    state = State.ENDED;
    if (request != null) {
      var unused = request.reset();
    }
  }

  boolean wasSent() {
    return request != null;
  }
}
