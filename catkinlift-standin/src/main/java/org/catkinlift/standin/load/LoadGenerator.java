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
 * An open-loop load generator: sends a seeded mix of requests at a fixed average rate, regardless
 * of responses, and checks that each response belongs to its request.
 */
public final class LoadGenerator {

  private static final long TICK_MILLIS = 1;

  /** Enough for the demo's request rates, so that no request waits for a connection. */
  private static final int CONNECTIONS_PER_ADDRESS = 100;

  /** How long after its deadline a request may be answered before it counts as unknown. */
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
   * Runs a load test.
   *
   * @param vertx sends the requests, on a dedicated event loop
   * @param settings the settings of the run
   * @return completes with the report once all requests have ended
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
