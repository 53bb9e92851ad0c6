package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.catkinlift.standin.HeaderNames;

/** Executes the actions that the core decides on for requests. Confined to the event loop. */
final class WorkRunner {

  private static final String JSON = "application/json";
  private static final String RETRY_AFTER_SECONDS = "1";
  private static final int CANCELLED_STATUS = 503;

  private final Vertx vertx;
  private final UpstreamSettings settings;
  private final UpstreamCore core;
  private final FreezeGate gate;
  private final Supplier<UpstreamFaults> faults;
  private final Predicate<HttpServerRequest> silent;
  private final Map<Long, HttpServerRequest> exchanges = new HashMap<>();

  /**
   * Creates a runner.
   *
   * @param vertx provides timers
   * @param settings the settings of the upstream
   * @param core makes the decisions
   * @param gate defers work while the process is frozen
   * @param faults supplies the faults currently injected
   * @param silent tests whether the connection of a request is silent
   */
  WorkRunner(
      Vertx vertx,
      UpstreamSettings settings,
      UpstreamCore core,
      FreezeGate gate,
      Supplier<UpstreamFaults> faults,
      Predicate<HttpServerRequest> silent) {
    this.vertx = vertx;
    this.settings = settings;
    this.core = core;
    this.gate = gate;
    this.faults = faults;
    this.silent = silent;
  }

  void accept(Work work, HttpServerRequest request) {
    exchanges.put(work.number(), request);
    request.response().closeHandler(v -> core.abandon(work.number()));
    run(core.admit(work, System.nanoTime()));
  }

  Cancellation cancel(String requestId) {
    run(core.cancel(requestId, System.nanoTime()));
    return core.cancellationStatus(requestId);
  }

  /** Discards all pending requests when the process restarts. */
  void clear() {
    exchanges.clear();
  }

  private void run(ImmutableList<WorkAction> actions) {
    for (WorkAction action : actions) {
      switch (action) {
        case WorkAction.Start a -> execute(a.work(), a.slowdown());
        case WorkAction.Refuse a -> refuse(a.work(), a.reason());
        case WorkAction.Stop a -> stop(a.work());
      }
    }
  }

  private void execute(Work work, double slowdown) {
    double millis = settings.executionTime().toMillis() * slowdown * faults.get().slowFactor();
    vertx.setTimer(Math.max(1, Math.round(millis)), id -> gate.runOrDefer(() -> complete(work)));
  }

  private void complete(Work work) {
    if (!core.isRunning(work.number())) {
      return;
    }
    switch (work.task()) {
      case Task.Lookup t -> answer(work);
      case Task.Order t -> answer(work);
      case Task.Download t -> sendFile(work, t);
    }
  }

  private void answer(Work work) {
    String body = ControlJson.ofAnswer(work, settings, core.instance());
    finish(work);
    respond(work, response -> response.putHeader("Content-Type", JSON).end(body));
  }

  private void sendFile(Work work, Task.Download download) {
    HttpServerRequest request = exchanges.get(work.number());
    if (request == null || request.response().closed() || silent.test(request)) {
      finish(work);
      return;
    }
    HttpServerResponse response =
        request
            .response()
            .putHeader(HeaderNames.REQUEST_ID, work.requestId())
            .putHeader(HeaderNames.INSTANCE, core.instance())
            .putHeader("Content-Type", "application/octet-stream")
            .putHeader("Content-Length", Long.toString(download.bytes()));
    new FileSender(response, gate, download, () -> finish(work)).start();
  }

  private void finish(Work work) {
    run(core.finish(work.number(), System.nanoTime()));
  }

  private void refuse(Work work, NotRun reason) {
    respond(
        work,
        response ->
            response
                .setStatusCode(reason.status())
                .putHeader(HeaderNames.OUTCOME, HeaderNames.NOT_RUN)
                .putHeader("Retry-After", RETRY_AFTER_SECONDS)
                .end(reason.name()));
  }

  private void stop(Work work) {
    respond(
        work,
        response -> {
          if (response.headWritten()) {
            response.reset();
            return;
          }
          response
              .setStatusCode(CANCELLED_STATUS)
              .putHeader(HeaderNames.OUTCOME, HeaderNames.UNKNOWN)
              .end(NotRun.CANCELLED.name());
        });
  }

  private void respond(Work work, Consumer<HttpServerResponse> write) {
    HttpServerRequest request = exchanges.remove(work.number());
    if (request == null || request.response().closed() || silent.test(request)) {
      return;
    }
    HttpServerResponse response = request.response();
    if (!response.headWritten()) {
      response
          .putHeader(HeaderNames.REQUEST_ID, work.requestId())
          .putHeader(HeaderNames.INSTANCE, core.instance());
    }
    write.accept(response);
  }
}
