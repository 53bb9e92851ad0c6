package org.catkinlift.daemon.http;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.catkinlift.daemon.EventSink;
import org.catkinlift.daemon.RoutingStateHolder;
import org.catkinlift.daemon.relay.AttemptDispatcher;
import org.catkinlift.daemon.relay.RelayClient;
import org.catkinlift.model.ServiceName;
import org.catkinlift.retries.HedgingPolicy;
import org.catkinlift.retries.RetryBudget;
import org.catkinlift.routing.RequestRouter;
import org.catkinlift.routing.SharedUpstreamChooser;

/**
 * Holds what the entry side of requests needs on one event loop.
 *
 * @param vertx runs timers
 * @param routingState shows the routing state
 * @param router chooses upstreams
 * @param chooser learns how attempts of shared services ended
 * @param local opens attempts at dispatchers of this daemon
 * @param relayClient opens attempts at dispatchers of other daemons
 * @param events takes log events
 * @param completionListener learns how requests ended
 * @param policies the retry budget and the hedge rule of each service
 */
record ExchangeServices(
    Vertx vertx,
    RoutingStateHolder routingState,
    RequestRouter router,
    SharedUpstreamChooser chooser,
    AttemptDispatcher local,
    RelayClient relayClient,
    EventSink events,
    Consumer<CompletedRequest> completionListener,
    ServicePolicies policies) {

  /** Keeps one retry budget and one hedge rule for each service. Confined to one event loop. */
  static final class ServicePolicies {
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private final Map<ServiceName, HedgingPolicy> hedges = new HashMap<>();

    RetryBudget budget(ServiceName service) {
      return budgets.computeIfAbsent(service, s -> new RetryBudget(System.nanoTime()));
    }

    HedgingPolicy hedging(ServiceName service) {
      return hedges.computeIfAbsent(service, s -> new HedgingPolicy());
    }
  }
}
