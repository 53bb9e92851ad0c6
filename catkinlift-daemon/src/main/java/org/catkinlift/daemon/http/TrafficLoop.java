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

/** Runs the traffic of one event loop: a share of the callers and a share of the upstreams. */
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
   * @param routingState provides the routing state
   * @param relayClient opens attempts on other daemons
   * @param events logs decision events
   * @param lastAttemptNumber counts the attempts of the daemon, over all its event loops
   * @param completionListener receives each completed request
   * @param loadListener receives the loads of upstreams
   * @param upstreamRemovalListener receives each upstream that the daemon no longer dispatches to
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
   * Creates the verticle; it starts when it is deployed.
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
   * Returns the upstream workers of this event loop; available once the verticle is deployed.
   *
   * @return the workers
   */
  public UpstreamWorkers workers() {
    return workers;
  }

  /**
   * Starts serving callers. May be called on any thread.
   *
   * @param localDispatcher opens attempts on dispatchers of this daemon
   * @return completes once the server listens
   */
  public Future<Void> serve(AttemptDispatcher localDispatcher) {
    return onEventLoop(
        () -> {
          var chooser = new SharedUpstreamChooser(random);
          var services =
              new ExchangeServices(
                  vertx,
                  shared.routingState(),
                  new RequestRouter(chooser),
                  chooser,
                  localDispatcher,
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
   * Makes the health check fail. May be called on any thread.
   *
   * @return completes when the health check fails
   */
  public Future<Void> failHealth() {
    return onEventLoop(
        () -> {
          server.failHealth();
          return Future.succeededFuture();
        });
  }

  /**
   * Refuses new requests and waits for running ones to complete. May be called on any thread.
   *
   * @return completes when no request is running
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
