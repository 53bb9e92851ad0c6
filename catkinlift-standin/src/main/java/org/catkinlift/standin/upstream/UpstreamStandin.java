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
 * Behaves as a server that owns keys and executes requests, over HTTP.
 *
 * <p>It listens on two ports with the same execution slots: the service port, and a direct port
 * that checks no grants and serves as the baseline of measurements. Each stand-in runs on one event
 * loop; its public methods may be called from any thread.
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
   * @param settings describes the upstream
   * @param ip the loopback IP number to listen on
   * @param port the service port; 0 for any free one
   * @return the stand-in once it listens
   */
  public static Future<UpstreamStandin> start(
      Vertx vertx, UpstreamSettings settings, String ip, int port) {
    var standin = new UpstreamStandin(vertx, settings, ip);
    Deployable deployable = context -> standin.listen(context, port);
    return vertx.deployVerticle(deployable).map(standin::deployedAs);
  }

  /**
   * Returns where daemons reach the upstream.
   *
   * @return the address of the service port
   */
  public NetworkAddress address() {
    return NetworkAddress.of(ip, server.actualPort());
  }

  /**
   * Returns where requests run without a grant, within the same limits.
   *
   * @return the address of the direct port
   */
  public NetworkAddress directAddress() {
    return NetworkAddress.of(ip, directServer.actualPort());
  }

  /**
   * Returns what the upstream is like.
   *
   * @return the settings
   */
  public UpstreamSettings settings() {
    return settings;
  }

  /**
   * Returns the faults in force.
   *
   * @return the faults
   */
  public UpstreamFaults faults() {
    return faults;
  }

  /**
   * Replaces the faults. A process that is no longer frozen goes on with what it held back.
   *
   * @param faults the faults from now on
   * @return completes when they are in force
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
   * Starts or ends draining: running and waiting requests finish, new ones are refused.
   *
   * @param draining whether the upstream takes no more work
   * @return completes when it is in force
   */
  public Future<Void> setDraining(boolean draining) {
    return onContext(
        () -> {
          core.drain(draining);
          return null;
        });
  }

  /**
   * Makes the upstream cold without a restart.
   *
   * @return completes when it is in force
   */
  public Future<Void> becomeCold() {
    return onContext(
        () -> {
          core.becomeCold();
          return null;
        });
  }

  /**
   * Ends the process and starts a new instance: connections close, running requests end without an
   * answer, grants are forgotten.
   *
   * @return completes when the new instance serves
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
   * Lets all open connections go silent for good: requests on them run but are not answered. New
   * connections work.
   *
   * @return the number of connections
   */
  public Future<Integer> silenceConnections() {
    return onContext(connections::silenceAll);
  }

  /**
   * Returns what the upstream remembers of its work.
   *
   * @return the record up to now
   */
  public Future<UpstreamActivity> record() {
    return onContext(core::record);
  }

  /**
   * Stops the servers.
   *
   * @return completes when the ports are free
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
