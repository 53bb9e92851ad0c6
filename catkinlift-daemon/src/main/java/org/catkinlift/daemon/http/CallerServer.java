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
 * Serves callers on one event loop. The servers of all event loops share the port.
 *
 * <p>{@code GET /health} is the load balancer's health check. It returns 200 while the daemon
 * accepts requests, and 503 before the daemon has a configuration and once a graceful stop has
 * begun.
 */
public final class CallerServer {
  private static final String HEALTH_PATH = "/health";
  private static final String SERVING = "serving";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final Duration RETRY_AFTER_STOPPING = Duration.ofMillis(1);

  private final ExchangeServices services;
  private final RequestParser parser;
  private final HttpServer server;
  private int runningRequests;
  private boolean healthFailing;
  private boolean refusingRequests;
  private Optional<Promise<Void>> drained = Optional.empty();

  private CallerServer(ExchangeServices services, Duration defaultDeadline, Duration idleTimeout) {
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
   * @param services the services that exchanges use
   * @param address the address to listen on
   * @param defaultDeadline the deadline for requests without a deadline header
   * @param idleTimeout the time after which an idle caller connection is closed
   * @return the server; completes once it listens
   */
  static Future<CallerServer> start(
      ExchangeServices services,
      NetworkAddress address,
      Duration defaultDeadline,
      Duration idleTimeout) {
    var callerServer = new CallerServer(services, defaultDeadline, idleTimeout);
    return callerServer
        .server
        .requestHandler(callerServer::handle)
        .listen(address.port(), address.ip())
        .map(listening -> callerServer);
  }

  private void handle(HttpServerRequest request) {
    if (request.path().equals(HEALTH_PATH)) {
      writeHealth(request);
      return;
    }
    switch (parser.parse(request)) {
      case RequestParser.Parsed.Malformed malformed ->
          RefusalWriter.writeMalformed(request.response(), malformed.id(), malformed.reason());
      case RequestParser.Parsed.Request parsed -> serve(request, parsed);
    }
  }

  private void writeHealth(HttpServerRequest request) {
    String state = healthState();
    var unused =
        request
            .response()
            .setStatusCode(state.equals(SERVING) ? OK : UNAVAILABLE)
            .end(state + "\n");
  }

  private String healthState() {
    if (healthFailing) {
      return "stopping";
    }
    long version = services.routingState().current().snapshot().configuration().version();
    return version == 0 ? "waiting for configuration" : SERVING;
  }

  private void serve(HttpServerRequest request, RequestParser.Parsed.Request parsed) {
    if (refusingRequests) {
      refuse(request, parsed.description().id());
      return;
    }
    runningRequests++;
    if (healthFailing) {
      request.response().putHeader("Connection", "close");
    }
    new CallerExchange(services, request, parsed, this::requestCompleted).start();
  }

  private static void refuse(HttpServerRequest request, RequestId id) {
    request.response().putHeader("Connection", "close");
    RefusalWriter.write(
        request.response(), id, Outcome.notRun(RefusalCode.STOPPING, RETRY_AFTER_STOPPING));
  }

  private void requestCompleted() {
    runningRequests--;
    completeIfIdle();
  }

  private void completeIfIdle() {
    if (runningRequests == 0) {
      drained.ifPresent(Promise::tryComplete);
    }
  }

  /**
   * Makes the health check fail, so that the load balancer sends no new connections. Event loop
   * only.
   */
  void failHealth() {
    healthFailing = true;
  }

  /**
   * Refuses new requests and waits for running ones to complete. Event loop only.
   *
   * @return completes when no request is running
   */
  Future<Void> drain() {
    refusingRequests = true;
    Promise<Void> promise = Promise.promise();
    drained = Optional.of(promise);
    completeIfIdle();
    return promise.future();
  }

  /**
   * Stops listening and closes caller connections. Event loop only.
   *
   * @return completes when everything is closed
   */
  Future<Void> close() {
    return server.close();
  }
}
