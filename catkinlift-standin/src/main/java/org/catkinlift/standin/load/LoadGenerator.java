package org.catkinlift.standin.load;

import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.catkinlift.standin.HeaderNames;
import org.catkinlift.standin.upstream.Task;

/**
 * Sends a seeded mix of requests at a fixed average rate, whether or not answers come, and checks
 * that each answer belongs to its request.
 */
public final class LoadGenerator {

  private static final long TICK_MILLIS = 1;

  /** Enough for the requests in flight at the rates of the demo, so that none waits for another. */
  private static final int CONNECTIONS_PER_ADDRESS = 100;

  /** The time that an answer may be late before the request counts as unknown. */
  private static final Duration LATE_ANSWER_GRACE = Duration.ofSeconds(1);

  private final Vertx vertx;
  private final LoadSettings settings;
  private final RequestPlan plan;
  private final LoadRecorder recorder = new LoadRecorder();
  private final Promise<LoadReport> done = Promise.promise();
  private final HttpClient client;
  private PlannedRequest next;
  private long startNanos;
  private long inFlight;
  private boolean sending = true;

  private LoadGenerator(Vertx vertx, LoadSettings settings) {
    this.vertx = vertx;
    this.settings = settings;
    this.plan = new RequestPlan(settings);
    this.next = plan.next();
    this.client =
        vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_ADDRESS));
  }

  /**
   * Runs the load.
   *
   * @param vertx sends the requests, on an event loop of their own
   * @param settings describes the run
   * @return the report, once each request has ended
   */
  public static Future<LoadReport> run(Vertx vertx, LoadSettings settings) {
    var generator = new LoadGenerator(vertx, settings);
    Deployable deployable = generator::start;
    return vertx
        .deployVerticle(deployable)
        .compose(
            id ->
                generator
                    .done
                    .future()
                    .eventually(() -> vertx.undeploy(id))
                    .eventually(generator.client::close));
  }

  private Future<?> start(Context context) {
    startNanos = System.nanoTime();
    vertx.setPeriodic(TICK_MILLIS, this::tick);
    return Future.succeededFuture();
  }

  private void tick(long timer) {
    var elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
    while (sending && next.offset().compareTo(elapsed) <= 0) {
      sendNext();
    }
    if (!sending) {
      vertx.cancelTimer(timer);
      completeIfIdle();
    }
  }

  private void sendNext() {
    if (next.offset().compareTo(settings.duration()) >= 0) {
      sending = false;
      return;
    }
    send(next);
    next = plan.next();
  }

  private void send(PlannedRequest request) {
    inFlight++;
    client
        .request(options(request))
        .compose(r -> exchange(request, r))
        .timeout(settings.deadline().plus(LATE_ANSWER_GRACE).toMillis(), TimeUnit.MILLISECONDS)
        .otherwise(new Verdict.Unknown())
        .onSuccess(verdict -> recordVerdict(request, verdict));
  }

  private RequestOptions options(PlannedRequest request) {
    Targets.Destination destination = settings.targets().destinationOf(request);
    return new RequestOptions()
        .setMethod(request.task() instanceof Task.Order ? HttpMethod.POST : HttpMethod.GET)
        .setHost(destination.address().ip())
        .setPort(destination.address().port())
        .setURI(destination.uri())
        .setIdleTimeout(settings.deadline().plus(LATE_ANSWER_GRACE).toMillis())
        .putHeader(HeaderNames.REQUEST_ID, request.id())
        .putHeader(HeaderNames.DEADLINE, Long.toString(settings.deadline().toMillis()));
  }

  private static Future<Verdict> exchange(PlannedRequest request, HttpClientRequest out) {
    return out.send(Buffer.buffer()).compose(answer -> check(request, answer));
  }

  private static Future<Verdict> check(PlannedRequest request, HttpClientResponse answer) {
    var check =
        new AnswerCheck(
            request,
            answer.statusCode(),
            Optional.ofNullable(answer.getHeader(HeaderNames.REQUEST_ID)),
            Optional.ofNullable(answer.getHeader(HeaderNames.OUTCOME)));
    answer.handler(part -> check.addChunk(part.getBytes()));
    return answer.end().map(v -> check.finish());
  }

  private void recordVerdict(PlannedRequest request, Verdict verdict) {
    long dueNanos = startNanos + request.offset().toNanos();
    recorder.add(request, verdict, System.nanoTime() - dueNanos);
    inFlight--;
    completeIfIdle();
  }

  private void completeIfIdle() {
    if (!sending && inFlight == 0) {
      done.tryComplete(recorder.report());
    }
  }
}
