package org.catkinlift.standin.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URLDecoder;
import java.util.function.Supplier;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.standin.JsonResponses;

/** Handles control requests from daemons. Confined to the event loop. */
final class ControlHandler {

  /** The path prefix of all control requests. */
  static final String PREFIX = "/_upstream/";

  private static final String REQUESTS = PREFIX + "requests/";
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final Vertx vertx;
  private final UpstreamSettings settings;
  private final UpstreamCore core;
  private final WorkRunner runner;
  private final FreezeGate gate;
  private final Supplier<UpstreamFaults> faults;

  /**
   * Creates a handler.
   *
   * @param vertx provides timers
   * @param settings the settings of the upstream
   * @param core makes the decisions
   * @param runner executes cancellations
   * @param gate defers responses while the process is frozen
   * @param faults supplies the faults currently injected
   */
  ControlHandler(
      Vertx vertx,
      UpstreamSettings settings,
      UpstreamCore core,
      WorkRunner runner,
      FreezeGate gate,
      Supplier<UpstreamFaults> faults) {
    this.vertx = vertx;
    this.settings = settings;
    this.core = core;
    this.runner = runner;
    this.gate = gate;
    this.faults = faults;
  }

  /**
   * Handles one request.
   *
   * @throws IllegalArgumentException if the body is malformed
   */
  void handle(HttpServerRequest request, Buffer body) {
    long nowNanos = System.nanoTime();
    switch (request.method() + " " + request.path()) {
      case "POST /_upstream/grant" ->
          end(request, core.grant(ControlJson.toGrant(ControlJson.parse(text(body))), nowNanos));
      case "POST /_upstream/release" ->
          end(
              request,
              core.release(ControlJson.toRelease(ControlJson.parse(text(body))), nowNanos));
      case "GET /_upstream/health" -> probe(request);
      case "GET /_upstream/load" ->
          JsonResponses.end(
              request,
              OK,
              ControlJson.ofLoad(core.load(faults.get().loadReporting(), nowNanos), core));
      default -> cancel(request);
    }
  }

  private void probe(HttpServerRequest request) {
    vertx.setTimer(
        Math.max(1, settings.probeCost().toMillis()),
        id -> gate.runOrDefer(() -> end(request, core.probe(System.nanoTime()))));
  }

  private void cancel(HttpServerRequest request) {
    if (!request.method().name().equals("DELETE") || !request.path().startsWith(REQUESTS)) {
      JsonResponses.end(request, NOT_FOUND, "");
      return;
    }
    String requestId = URLDecoder.decode(request.path().substring(REQUESTS.length()), UTF_8);
    Cancellation cancellation = runner.cancel(requestId);
    JsonResponses.end(request, cancellation.status(), "");
  }

  private static void end(HttpServerRequest request, Reply reply) {
    int status =
        switch (reply) {
          case Reply.Probed r -> OK;
          case Reply.Granted r -> OK;
          case Reply.Released r -> OK;
          case Reply.Releasing r -> ACCEPTED;
          case Reply.Outdated r -> CONFLICT;
          case Reply.NoAnswer r -> NOT_FOUND;
        };
    JsonResponses.end(request, status, ControlJson.ofReply(reply));
  }

  private static String text(Buffer body) {
    return body.toString(UTF_8);
  }
}
