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
 * The services that the exchanges of one event loop share.
 *
 * @param vertx runs timers
 * @param routingState provides the routing state
 * @param router selects upstreams
 * @param chooser is notified of the results of attempts, for the choice among shared upstreams
 * @param localDispatcher opens attempts on dispatchers of this daemon
 * @param relayClient opens attempts on dispatchers of other daemons
 * @param events logs decision events
 * @param completionListener receives each completed request
 * @param policies the retry budget and the hedging policy of each service
 */
record ExchangeServices(
    Vertx vertx,
    RoutingStateHolder routingState,
    RequestRouter router,
    SharedUpstreamChooser chooser,
    AttemptDispatcher localDispatcher,
    RelayClient relayClient,
    EventSink events,
    Consumer<CompletedRequest> completionListener,
    ServicePolicies policies) {

  /** Holds one retry budget and one hedging policy for each service. Confined to one event loop. */
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
