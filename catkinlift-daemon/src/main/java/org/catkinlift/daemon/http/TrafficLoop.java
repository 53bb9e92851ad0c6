package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.daemon.EventSink;
import org.catkinlift.daemon.RoutingStateHolder;
import org.catkinlift.daemon.relay.AttemptDispatcher;
import org.catkinlift.daemon.relay.RelayClient;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.daemon.upstream.UpstreamWorkers;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.RequestRouter;
import org.catkinlift.routing.SharedUpstreamChooser;

/** Runs the traffic of one event loop: its share of callers and its share of upstreams. */
public final class TrafficLoop extends VerticleBase {

  private final Shared shared;
  private final SplittableRandom random;
  private UpstreamWorkers workers;
  private CallerServer server;
  private Context eventLoop;

  /**
   * What the event loops of one daemon share.
   *
   * @param settings the daemon's settings
   * @param routingState shows the routing state
   * @param relayClient opens attempts at other daemons
   * @param events takes log events
   * @param lastAttemptNumber numbers the attempts of the daemon
   * @param completionListener learns how requests ended
   * @param loadListener takes the loads of upstreams
   * @param upstreamRemovalListener takes each upstream that the daemon no longer dispatches to
   */
  public record Shared(
      DaemonSettings settings,
      RoutingStateHolder routingState,
      RelayClient relayClient,
      EventSink events,
      AtomicLong lastAttemptNumber,
      Consumer<CompletedRequest> completionListener,
      Consumer<ImmutableList<UpstreamLoad>> loadListener,
      Consumer<UpstreamId> upstreamRemovalListener) {}

  /**
   * Creates the loop; it starts when it is deployed.
   *
   * @param shared what the event loops share
   * @param random the source of random numbers of this loop
   */
  public TrafficLoop(Shared shared, SplittableRandom random) {
    this.shared = shared;
    this.random = random;
  }

  @Override
  public Future<?> start() {
    eventLoop = context;
    workers =
        new UpstreamWorkers(
            vertx,
            shared.settings(),
            shared.routingState(),
            shared.events(),
            shared.lastAttemptNumber(),
            shared.loadListener(),
            shared.upstreamRemovalListener());
    return Future.succeededFuture();
  }

  /**
   * Returns the upstreams of this loop; available once the loop is deployed.
   *
   * @return the registry
   */
  public UpstreamWorkers workers() {
    return workers;
  }

  /**
   * Begins to serve callers. May be called on any thread.
   *
   * @param local opens attempts at dispatchers of this daemon
   * @return completes once the loop listens
   */
  public Future<Void> serve(AttemptDispatcher local) {
    return onEventLoop(
        () -> {
          var chooser = new SharedUpstreamChooser(random);
          var services =
              new ExchangeServices(
                  vertx,
                  shared.routingState(),
                  new RequestRouter(chooser),
                  chooser,
                  local,
                  shared.relayClient(),
                  shared.events(),
                  shared.completionListener(),
                  new ExchangeServices.ServicePolicies());
          DaemonSettings settings = shared.settings();
          return CallerServer.start(
                  services,
                  settings.callerAddress(),
                  settings.limits().defaultDeadline(),
                  settings.limits().callerIdleTimeout())
              .onSuccess(started -> server = started)
              .mapEmpty();
        });
  }

  /**
   * Lets the health check fail. May be called on any thread.
   *
   * @return completes when it is done
   */
  public Future<Void> failHealth() {
    return onEventLoop(
        () -> {
          server.failHealth();
          return Future.succeededFuture();
        });
  }

  /**
   * Refuses new requests and waits for the running ones. May be called on any thread.
   *
   * @return completes when no request runs
   */
  public Future<Void> drain() {
    return onEventLoop(() -> server.drain());
  }

  @Override
  public Future<?> stop() {
    workers.close();
    return server == null ? Future.succeededFuture() : server.close();
  }

  private Future<Void> onEventLoop(Supplier<Future<Void>> task) {
    Promise<Void> promise = Promise.promise();
    eventLoop.runOnContext(v -> task.get().onComplete(promise));
    return promise.future();
  }
}
