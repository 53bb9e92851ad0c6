package org.catkinlift.standin.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Supplier;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.NetworkAddress;

/**
 * A stand-in for an upstream: an HTTP server that owns keys and executes requests.
 *
 * <p>It listens on two ports that share the execution slots: the service port, and a direct port
 * that does not check grants and serves as the baseline for measurements. Each stand-in runs on one
 * event loop; its public methods may be called from any thread.
 */
public final class UpstreamStandin {

  private static final String FAULTS = "/faults";
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final Vertx vertx;
  private final UpstreamSettings settings;
  private final String ip;
  private final UpstreamCore core;
  private final FreezeGate gate = new FreezeGate();
  private final ConnectionTable connections;
  private final WorkRunner runner;
  private final ControlHandler control;
  private final HttpServer server;
  private final HttpServer directServer;
  private volatile UpstreamFaults faults = UpstreamFaults.NONE;
  private Context context;
  private String deployment;

  private UpstreamStandin(Vertx vertx, UpstreamSettings settings, String ip) {
    this.vertx = vertx;
    this.settings = settings;
    this.ip = ip;
    this.core = new UpstreamCore(settings, System.nanoTime());
    this.connections = new ConnectionTable(settings.connectionLimit());
    this.runner =
        new WorkRunner(
            vertx,
            settings,
            core,
            gate,
            this::faults,
            request -> connections.isSilent(request.connection()));
    this.control = new ControlHandler(vertx, settings, core, runner, gate, this::faults);
    this.server = vertx.createHttpServer();
    this.directServer = vertx.createHttpServer();
    server.connectionHandler(connections::opened);
    server.requestHandler(r -> receive(r, core.checksGrants()));
    directServer.requestHandler(r -> receive(r, false));
  }

  /**
   * Starts a stand-in.
   *
   * @param vertx runs the servers
   * @param settings the settings of the upstream
   * @param ip the loopback IP address to listen on
   * @param port the service port; 0 for any free port
   * @return completes with the stand-in once it is listening
   */
  public static Future<UpstreamStandin> start(
      Vertx vertx, UpstreamSettings settings, String ip, int port) {
    var standin = new UpstreamStandin(vertx, settings, ip);
    Deployable deployable = context -> standin.listen(context, port);
    return vertx.deployVerticle(deployable).map(standin::deployedAs);
  }

  /**
   * Returns the address at which daemons reach the upstream.
   *
   * @return the address of the service port
   */
  public NetworkAddress address() {
    return NetworkAddress.of(ip, server.actualPort());
  }

  /**
   * Returns the address at which requests run without a grant, within the same execution limits.
   *
   * @return the address of the direct port
   */
  public NetworkAddress directAddress() {
    return NetworkAddress.of(ip, directServer.actualPort());
  }

  /**
   * Returns the settings of the upstream.
   *
   * @return the settings
   */
  public UpstreamSettings settings() {
    return settings;
  }

  /**
   * Returns the faults currently injected.
   *
   * @return the faults
   */
  public UpstreamFaults faults() {
    return faults;
  }

  /**
   * Replaces the injected faults. When the process is unfrozen, deferred work is executed.
   *
   * @param faults the new faults
   * @return completes when the faults are in effect
   */
  public Future<Void> setFaults(UpstreamFaults faults) {
    return onContext(
        () -> {
          this.faults = faults;
          if (faults.frozen()) {
            gate.freeze();
          } else {
            gate.resume();
          }
          return null;
        });
  }

  /**
   * Starts or stops draining: running and queued requests finish, new ones are refused.
   *
   * @param draining whether the upstream refuses new requests
   * @return completes when the change is in effect
   */
  public Future<Void> setDraining(boolean draining) {
    return onContext(
        () -> {
          core.drain(draining);
          return null;
        });
  }

  /**
   * Resets the upstream to its cold state without a restart.
   *
   * @return completes when the change is in effect
   */
  public Future<Void> becomeCold() {
    return onContext(
        () -> {
          core.becomeCold();
          return null;
        });
  }

  /**
   * Simulates a process restart: connections to the service port close, running requests end
   * without a response, grants are discarded, and a new instance starts.
   *
   * @return completes when the new instance is serving
   */
  public Future<Void> restart() {
    return onContext(
        () -> {
          connections.closeAll();
          gate.clear();
          runner.clear();
          core.restart(System.nanoTime());
          return null;
        });
  }

  /**
   * Makes all open connections silent until they close: requests on them run but get no response.
   * New connections are not affected.
   *
   * @return completes with the number of silent connections
   */
  public Future<Integer> silenceConnections() {
    return onContext(connections::silenceAll);
  }

  /**
   * Returns the recorded activity of the upstream.
   *
   * @return completes with the activity up to now
   */
  public Future<UpstreamActivity> activity() {
    return onContext(core::activity);
  }

  /**
   * Stops the servers.
   *
   * @return completes when the ports are released
   */
  public Future<Void> stop() {
    return vertx.undeploy(deployment);
  }

  private Future<?> listen(Context context, int port) {
    this.context = context;
    return Future.join(ImmutableList.of(server.listen(port, ip), directServer.listen(0, ip)));
  }

  private UpstreamStandin deployedAs(String deployment) {
    this.deployment = deployment;
    return this;
  }

  private <T> Future<T> onContext(Supplier<T> job) {
    Promise<T> promise = Promise.promise();
    context.runOnContext(v -> promise.complete(job.get()));
    return promise.future();
  }

  private void receive(HttpServerRequest request, boolean requiresGrant) {
    long cost =
        connections.claimFirstUse(request.connection()) ? settings.connectCost().toMillis() : 0;
    request.body().onSuccess(body -> runAfter(cost, () -> serve(request, body, requiresGrant)));
  }

  private void runAfter(long millis, Runnable job) {
    if (millis == 0) {
      job.run();
      return;
    }
    vertx.setTimer(millis, id -> job.run());
  }

  private void serve(HttpServerRequest request, Buffer body, boolean requiresGrant) {
    if (request.path().equals(FAULTS)) {
      runOrReject(request, () -> changeFaults(request, body));
      return;
    }
    gate.runOrDefer(() -> runOrReject(request, () -> route(request, body, requiresGrant)));
  }

  private void route(HttpServerRequest request, Buffer body, boolean requiresGrant) {
    if (request.path().startsWith(ControlHandler.PREFIX)) {
      runUnlessSilent(request, () -> control.handle(request, body));
      return;
    }
    WorkParser.parse(request, core.nextNumber(), requiresGrant, System.nanoTime())
        .ifPresentOrElse(work -> runner.accept(work, request), () -> end(request, NOT_FOUND, ""));
  }

  private void runUnlessSilent(HttpServerRequest request, Runnable job) {
    if (!connections.isSilent(request.connection())) {
      job.run();
    }
  }

  private void changeFaults(HttpServerRequest request, Buffer body) {
    JsonNode node = ControlJson.parse(body.toString(UTF_8));
    Future<Void> done = setFaults(ControlJson.toFaults(node, faults));
    if (node.has("draining")) {
      done = done.compose(v -> setDraining(node.get("draining").asBoolean()));
    }
    done.onSuccess(v -> end(request, OK, faults.toString()));
  }

  private static void runOrReject(HttpServerRequest request, Runnable job) {
    try {
      job.run();
    } catch (IllegalArgumentException | ModelException e) {
      end(request, BAD_REQUEST, e.getMessage());
    }
  }

  private static void end(HttpServerRequest request, int status, String body) {
    if (request.response().closed()) {
      return;
    }
    var unused = request.response().setStatusCode(status).end(body);
  }
}
