package org.catkinlift.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.catkinlift.daemon.metrics.MetricsText;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;

/**
 * Serves the operator API. It authenticates and decodes requests, forwards them to the control
 * thread and encodes the replies.
 */
public final class OperatorServer {
  /**
   * Time for the client to read the response to a rejected request before its connection closes.
   */
  private static final Duration CLOSE_DELAY = Duration.ofMillis(500);

  /** Longer than the 7 s within which a change must take effect, to allow for a slow platform. */
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(10);

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String HEALTH = "/health";
  private static final String BEARER = "Bearer ";

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final MetricRegistry metrics;
  private final Function<OperatorRequest, Future<OperatorReply>> controlHandler;
  private final BooleanSupplier isServing;
  private final Duration replyTimeout;
  private final HttpServer server;

  /**
   * Creates the server without starting it.
   *
   * @param vertx the Vert.x instance of the server
   * @param settings the settings with the address, the token and the limits
   * @param metrics the metrics that {@code /metrics} returns
   * @param controlHandler handles a request on the control thread
   * @param isServing whether {@code /health} reports that the daemon serves callers; false once a
   *     shutdown has begun
   */
  public OperatorServer(
      Vertx vertx,
      DaemonSettings settings,
      MetricRegistry metrics,
      Function<OperatorRequest, Future<OperatorReply>> controlHandler,
      BooleanSupplier isServing) {
    this(vertx, settings, metrics, controlHandler, isServing, REPLY_TIMEOUT);
  }

  /** Creates the server with another time-out for replies of the control thread, for tests. */
  OperatorServer(
      Vertx vertx,
      DaemonSettings settings,
      MetricRegistry metrics,
      Function<OperatorRequest, Future<OperatorReply>> controlHandler,
      BooleanSupplier isServing,
      Duration replyTimeout) {
    this.vertx = vertx;
    this.settings = settings;
    this.metrics = metrics;
    this.controlHandler = controlHandler;
    this.isServing = isServing;
    this.replyTimeout = replyTimeout;
    this.server = vertx.createHttpServer(optionsOf(settings)).requestHandler(this::handle);
  }

  /**
   * Starts listening on the operator address.
   *
   * @return completes when the server is listening; fails with {@link OperatorException}
   */
  public Future<Void> start() {
    NetworkAddress address = settings.operatorAddress();
    return server
        .listen(address.port(), address.ip())
        .<Void>mapEmpty()
        .recover(e -> Future.failedFuture(listenFailed(address, e)));
  }

  /**
   * Stops listening and closes the connections.
   *
   * @return completes when they are closed
   */
  public Future<Void> stop() {
    return server.close();
  }

  /** HTTP/1.1 only: a rejection closes the connection, which HTTP/2 streams would share. */
  private static HttpServerOptions optionsOf(DaemonSettings settings) {
    return new HttpServerOptions()
        .setHttp2ClearTextEnabled(false)
        .setIdleTimeout(Math.toIntExact(settings.limits().callerIdleTimeout().toMillis()))
        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS);
  }

  private static OperatorException listenFailed(NetworkAddress address, Throwable cause) {
    return new OperatorException(
        OperatorException.Code.LISTEN_FAILED, "cannot listen on " + address, cause);
  }

  private void handle(HttpServerRequest request) {
    if (request.path() != null && request.path().equals(HEALTH)) {
      send(request, isServing.getAsBoolean() ? HttpReply.empty(200) : HttpReply.empty(503));
      return;
    }
    if (!isAuthorized(request)) {
      reject(request, HttpReply.withHeader(401, "WWW-Authenticate", "Bearer"));
      return;
    }
    BoundedBody.read(request, settings.limits().maxControlBodyBytes())
        .onSuccess(body -> dispatch(request, httpRequestOf(request, body.toString())))
        .onFailure(e -> reject(request, HttpReply.empty(413)));
  }

  private boolean isAuthorized(HttpServerRequest request) {
    String header = request.getHeader(HttpHeaders.AUTHORIZATION);
    if (header == null || !header.startsWith(BEARER)) {
      return false;
    }
    return settings.operatorToken().matches(header.substring(BEARER.length()));
  }

  private static OperatorHttpRequest httpRequestOf(HttpServerRequest request, String body) {
    return new OperatorHttpRequest(request.method().name(), request.uri(), body);
  }

  private void dispatch(HttpServerRequest request, OperatorHttpRequest httpRequest) {
    switch (OperatorRequestCodec.decode(httpRequest)) {
      case DecodedRequest.Request c -> forwardToControl(request, c.request());
      case DecodedRequest.Metrics c ->
          send(request, HttpReply.text(200, MetricsText.CONTENT_TYPE, MetricsText.format(metrics)));
      case DecodedRequest.Malformed c ->
          send(request, HttpReply.json(400, OperatorCodec.encodeErrors(c.errors())));
      case DecodedRequest.UnknownPath c -> send(request, HttpReply.empty(404));
      case DecodedRequest.WrongMethod c ->
          send(request, HttpReply.withHeader(405, "Allow", c.allowed()));
    }
  }

  /** The reply may arrive on the control thread; the response is sent on the event loop. */
  private void forwardToControl(HttpServerRequest request, OperatorRequest operatorRequest) {
    Context context = vertx.getOrCreateContext();
    Future.<OperatorReply>future(
            promise -> controlHandler.apply(operatorRequest).onComplete(promise))
        .timeout(replyTimeout.toMillis(), TimeUnit.MILLISECONDS)
        .map(HttpReply::of)
        .otherwise(this::failureReply)
        .onSuccess(reply -> context.runOnContext(v -> send(request, reply)));
  }

  private HttpReply failureReply(Throwable cause) {
    if (cause instanceof TimeoutException) {
      return HttpReply.of(
          new OperatorReply.Failed(
              OperatorReply.Reason.PLATFORM_UNREACHABLE,
              "no reply within " + replyTimeout.toMillis() + " ms; the outcome is unknown"));
    }
    LOGGER.atSevere().withCause(cause).log("operator request failed");
    return HttpReply.empty(500);
  }

  /** Sends a response and closes the connection without reading the rest of the body. */
  private void reject(HttpServerRequest request, HttpReply reply) {
    if (request.response().ended() || request.response().closed()) {
      return;
    }
    request.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    send(request, reply);
    // The header alone closes the connection only after the whole body has been received. Closing
    // it at once would reset it while the client still sends, before it reads the response.
    vertx.setTimer(CLOSE_DELAY.toMillis(), t -> request.connection().close());
  }

  private static void send(HttpServerRequest request, HttpReply reply) {
    HttpServerResponse response = request.response();
    if (response.closed()) {
      return;
    }
    response.setStatusCode(reply.status());
    reply.headers().forEach(response::putHeader);
    response.end(reply.body());
  }
}
