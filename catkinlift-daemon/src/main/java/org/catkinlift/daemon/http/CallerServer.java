package org.catkinlift.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestId;

/**
 * Serves callers on one event loop; the servers of all event loops share the port.
 *
 * <p>{@code GET /health} answers the load balancer: 200 while the daemon takes requests, 503 before
 * it has a configuration and from the beginning of a stop.
 */
public final class CallerServer {
  private static final String HEALTH_PATH = "/health";
  private static final String SERVING = "serving";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(1);

  private final EntryServices services;
  private final RequestParser parser;
  private final HttpServer server;
  private int running;
  private boolean failingHealth;
  private boolean refusing;
  private Optional<Promise<Void>> idle = Optional.empty();

  private CallerServer(EntryServices services, Duration defaultDeadline, Duration idleTimeout) {
    this.services = services;
    this.parser = new RequestParser(defaultDeadline);
    this.server =
        services
            .vertx()
            .createHttpServer(
                new HttpServerOptions()
                    .setIdleTimeout((int) idleTimeout.toSeconds())
                    .setHandle100ContinueAutomatically(true)
                    .setReusePort(false));
  }

  /**
   * Starts serving on the calling event loop.
   *
   * @param services what requests need
   * @param address where to listen
   * @param defaultDeadline the deadline of a request that states none
   * @param idleTimeout after which an idle connection of a caller is closed
   * @return the server, once it listens
   */
  static Future<CallerServer> start(
      EntryServices services,
      NetworkAddress address,
      Duration defaultDeadline,
      Duration idleTimeout) {
    var caller = new CallerServer(services, defaultDeadline, idleTimeout);
    return caller
        .server
        .requestHandler(caller::handle)
        .listen(address.port(), address.ip())
        .map(listening -> caller);
  }

  private void handle(HttpServerRequest request) {
    if (request.path().equals(HEALTH_PATH)) {
      answerHealth(request);
      return;
    }
    switch (parser.parse(request)) {
      case RequestParser.Parsed.Malformed malformed ->
          RefusalWriter.writeMalformed(request.response(), malformed.id(), malformed.reason());
      case RequestParser.Parsed.Request parsed -> serve(request, parsed);
    }
  }

  private void answerHealth(HttpServerRequest request) {
    String state = state();
    var unused =
        request
            .response()
            .setStatusCode(state.equals(SERVING) ? OK : UNAVAILABLE)
            .end(state + "\n");
  }

  private String state() {
    if (failingHealth) {
      return "stopping";
    }
    long version = services.states().state().snapshot().configuration().version();
    return version == 0 ? "waiting for configuration" : SERVING;
  }

  private void serve(HttpServerRequest request, RequestParser.Parsed.Request parsed) {
    if (refusing) {
      refuse(request, parsed.description().id());
      return;
    }
    running++;
    if (failingHealth) {
      request.response().putHeader("Connection", "close");
    }
    new EntryExchange(services, request, parsed, this::ended).start();
  }

  private static void refuse(HttpServerRequest request, RequestId id) {
    request.response().putHeader("Connection", "close");
    RefusalWriter.write(
        request.response(), id, Outcome.notRun(RefusalCode.STOPPING, RETRY_ELSEWHERE));
  }

  private void ended() {
    running--;
    completeIfIdle();
  }

  private void completeIfIdle() {
    if (running == 0) {
      idle.ifPresent(Promise::tryComplete);
    }
  }

  /** Lets the health check fail, so that the balancer sends no new connections. Event loop only. */
  void failHealth() {
    failingHealth = true;
  }

  /**
   * Refuses new requests and waits for the running ones. Event loop only.
   *
   * @return completes when no request runs
   */
  Future<Void> drain() {
    refusing = true;
    Promise<Void> promise = Promise.promise();
    idle = Optional.of(promise);
    completeIfIdle();
    return promise.future();
  }

  /**
   * Stops listening and closes the connections of callers. Event loop only.
   *
   * @return completes when all is closed
   */
  Future<Void> close() {
    return server.close();
  }
}
