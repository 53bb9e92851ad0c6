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
import org.catkinlift.daemon.relay.Dispatching;
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
  private Context loop;

  /**
   * What the event loops of one daemon share.
   *
   * @param settings the daemon's settings
   * @param states shows the routing state
   * @param relays opens attempts at other daemons
   * @param events takes log events
   * @param attempts numbers the attempts of the daemon
   * @param observer learns how requests ended
   * @param loads takes the loads of upstreams
   * @param upstreamLeft takes each upstream that the daemon no longer dispatches to
   */
  public record Shared(
      DaemonSettings settings,
      RoutingStateHolder states,
      RelayClient relays,
      EventSink events,
      AtomicLong attempts,
      Consumer<RequestEnd> observer,
      Consumer<ImmutableList<UpstreamLoad>> loads,
      Consumer<UpstreamId> upstreamLeft) {}

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
    loop = context;
    workers =
        new UpstreamWorkers(
            vertx,
            shared.settings(),
            shared.states(),
            shared.events(),
            shared.attempts(),
            shared.loads(),
            shared.upstreamLeft());
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
  public Future<Void> serve(Dispatching local) {
    return onLoop(
        () -> {
          var chooser = new SharedUpstreamChooser(random);
          var services =
              new EntryServices(
                  vertx,
                  shared.states(),
                  new RequestRouter(chooser),
                  chooser,
                  local,
                  shared.relays(),
                  shared.events(),
                  shared.observer(),
                  new EntryServices.Rules());
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
    return onLoop(
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
    return onLoop(() -> server.drain());
  }

  @Override
  public Future<?> stop() {
    workers.close();
    return server == null ? Future.succeededFuture() : server.close();
  }

  private Future<Void> onLoop(Supplier<Future<Void>> task) {
    Promise<Void> promise = Promise.promise();
    loop.runOnContext(v -> task.get().onComplete(promise));
    return promise.future();
  }
}
