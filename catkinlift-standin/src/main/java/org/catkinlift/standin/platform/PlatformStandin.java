package org.catkinlift.standin.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URLDecoder;
import java.time.Duration;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.standin.JsonResponses;

/**
 * An in-memory stand-in for the platform's table, object store and host list, served over HTTP.
 *
 * <p>All requests are handled on one event loop; the public methods may be called from any thread.
 * The paths {@code /faults} and {@code PUT /hosts} control the stand-in and remain available during
 * an outage.
 */
public final class PlatformStandin {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final Vertx vertx;
  private final String ip;
  private final HttpServer server;
  private volatile PlatformState state = PlatformState.EMPTY;

  private PlatformStandin(Vertx vertx, String ip) {
    this.vertx = vertx;
    this.ip = ip;
    this.server = vertx.createHttpServer();
    server.requestHandler(this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param vertx runs the server
   * @param ip the loopback IP address to listen on
   * @param port the port; 0 for any free port
   * @return completes with the stand-in once it is listening
   */
  public static Future<PlatformStandin> start(Vertx vertx, String ip, int port) {
    var standin = new PlatformStandin(vertx, ip);
    return standin.server.listen(port, ip).map(s -> standin);
  }

  /**
   * Returns the address on which the stand-in listens.
   *
   * @return the address
   */
  public NetworkAddress address() {
    return NetworkAddress.of(ip, server.actualPort());
  }

  /**
   * Returns a snapshot of the table.
   *
   * @return the table
   */
  public TableState table() {
    return state.table();
  }

  /**
   * Writes one row unconditionally and bypassing faults, to set up a test.
   *
   * @param name the name of the row
   * @param json the content as JSON text
   */
  public void putRow(String name, String json) {
    var write = new TableTransaction("prepared", ImmutableMap.of(), ImmutableMap.of(name, json));
    update(
        s ->
            switch (s.table().apply(write)) {
              case TableState.Result.Applied a -> s.withTable(a.next());
              case TableState.Result.Conflict c -> s;
            });
  }

  /**
   * Returns the faults currently injected.
   *
   * @return the faults
   */
  public PlatformFaults faults() {
    return state.faults();
  }

  /**
   * Replaces the injected faults.
   *
   * @param faults the new faults
   */
  public void setFaults(PlatformFaults faults) {
    update(s -> s.withFaults(faults));
  }

  /**
   * Replaces the host list; it becomes visible after {@link PlatformFaults#hostListLag}.
   *
   * @param list the list that applies from now on
   */
  public void setHosts(HostList list) {
    update(s -> s.withHosts(System.nanoTime(), list));
  }

  /**
   * Stops the server.
   *
   * @return completes when the port is released
   */
  public Future<Void> stop() {
    return server.close();
  }

  private synchronized void update(UnaryOperator<PlatformState> change) {
    state = change.apply(state);
  }

  private synchronized PlatformAnswer process(PlatformCall call) {
    PlatformState.Step step = state.process(call, System.nanoTime());
    state = step.next();
    return step.answer();
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> answer(request, body));
  }

  private void answer(HttpServerRequest request, Buffer body) {
    try {
      parse(request, body)
          .map(this::process)
          .ifPresentOrElse(
              a -> send(request, a), () -> JsonResponses.end(request, NOT_FOUND, Buffer.buffer()));
    } catch (IllegalArgumentException | ModelException e) {
      JsonResponses.end(request, BAD_REQUEST, Buffer.buffer(e.getMessage()));
    }
  }

  private static Optional<PlatformCall> parse(HttpServerRequest request, Buffer body) {
    return PlatformCall.parse(
        request.method().name(),
        URLDecoder.decode(request.path(), UTF_8),
        Optional.ofNullable(request.getParam("prefix")),
        body);
  }

  private void send(HttpServerRequest request, PlatformAnswer answer) {
    switch (answer) {
      case PlatformAnswer.Lost a -> request.connection().close();
      case PlatformAnswer.Immediate a -> JsonResponses.end(request, a.status(), a.body());
      case PlatformAnswer.Delayed a ->
          afterDelay(() -> JsonResponses.end(request, a.status(), a.body()));
    }
  }

  private void afterDelay(Runnable send) {
    Duration delay = faults().delay();
    if (delay.isZero()) {
      send.run();
      return;
    }
    vertx.setTimer(delay.toMillis(), id -> send.run());
  }
}
