package org.catkinlift.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.RouteDecision.DispatchHere;
import org.catkinlift.routing.RouteDecision.Refuse;
import org.catkinlift.routing.RouteDecision.Relay;
import org.catkinlift.routing.RouteDecision.Wait;

/** Chooses the upstream and the dispatcher of each request. Confined to one event loop. */
public final class RequestRouter {
  private static final int NO_SLOT = -1;

  /** A slot that is being moved or has lost its owner gets a new owner within this time. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(3);

  private final SharedUpstreamChooser chooser;

  /**
   * Creates a router.
   *
   * @param chooser chooses among the upstreams of services that are not partitioned by key
   */
  public RequestRouter(SharedUpstreamChooser chooser) {
    this.chooser = chooser;
  }

  /**
   * Routes one attempt of a request.
   *
   * @param snapshot the current routing snapshot
   * @param request the request
   * @param excluded the upstreams that earlier attempts were sent to; ignored for keyed services,
   *     whose owner cannot be bypassed
   * @param nowNanos the time
   * @return the decision
   */
  public RouteDecision route(
      RoutingSnapshot snapshot,
      RequestDescription request,
      ImmutableSet<UpstreamId> excluded,
      long nowNanos) {
    ServiceDefinition service = snapshot.configuration().services().get(request.service());
    if (service == null) {
      return refuse(RefusalCode.UNKNOWN_SERVICE, Duration.ZERO);
    }
    return switch (service.kind()) {
      case ServiceKind.Keyed keyed -> routeKeyed(snapshot, request);
      case ServiceKind.Shared shared -> routeShared(snapshot, service, excluded, nowNanos);
    };
  }

  private static RouteDecision routeKeyed(RoutingSnapshot snapshot, RequestDescription request) {
    if (request.key().isEmpty()) {
      return refuse(RefusalCode.BAD_REQUEST, Duration.ZERO);
    }
    SlotTable table = snapshot.slotTables().get(request.service());
    if (table == null) {
      return waitFor(request);
    }
    SlotOwner owner = table.ownerOf(request.key());
    if (owner.owner().isEmpty()) {
      return waitFor(request);
    }
    UpstreamId upstream = owner.owner().get();
    HostId dispatcher = snapshot.dispatchers().get(upstream);
    if (dispatcher == null) {
      return waitFor(request);
    }
    return send(snapshot, dispatcher, upstream, table.slotOf(request.key()), owner.epoch());
  }

  private RouteDecision routeShared(
      RoutingSnapshot snapshot,
      ServiceDefinition service,
      ImmutableSet<UpstreamId> excluded,
      long nowNanos) {
    ImmutableList<UpstreamDefinition> candidates = candidates(snapshot, service, excluded);
    if (candidates.isEmpty()) {
      return refuse(codeWithoutCandidates(snapshot, service), MAX_WAIT);
    }
    UpstreamId upstream = chooser.choose(candidates, nowNanos).id();
    HostId dispatcher = snapshot.dispatchers().get(upstream);
    return send(snapshot, dispatcher, upstream, NO_SLOT, Epoch.NONE);
  }

  private static ImmutableList<UpstreamDefinition> candidates(
      RoutingSnapshot snapshot, ServiceDefinition service, ImmutableSet<UpstreamId> excluded) {
    var candidates =
        ImmutableList.<UpstreamDefinition>builderWithExpectedSize(service.upstreams().size());
    for (UpstreamDefinition upstream : service.upstreams()) {
      if (snapshot.configuration().admits(upstream)
          && snapshot.dispatchers().containsKey(upstream.id())
          && !excluded.contains(upstream.id())) {
        candidates.add(upstream);
      }
    }
    return candidates.build();
  }

  private static RefusalCode codeWithoutCandidates(
      RoutingSnapshot snapshot, ServiceDefinition service) {
    boolean anyAdmitted = service.upstreams().stream().anyMatch(snapshot.configuration()::admits);
    return anyAdmitted ? RefusalCode.DISPATCHER_UNREACHABLE : RefusalCode.ZONE_UNAVAILABLE;
  }

  private static RouteDecision send(
      RoutingSnapshot snapshot, HostId dispatcher, UpstreamId upstream, int slot, Epoch epoch) {
    return dispatcher.equals(snapshot.self())
        ? new DispatchHere(upstream, slot, epoch)
        : new Relay(dispatcher, upstream, slot, epoch);
  }

  private static RouteDecision waitFor(RequestDescription request) {
    Duration half = request.deadline().dividedBy(2);
    return new Wait(half.compareTo(MAX_WAIT) < 0 ? half : MAX_WAIT);
  }

  private static RouteDecision refuse(RefusalCode code, Duration retryAfter) {
    return new Refuse(new Outcome.NotRun(code, retryAfter));
  }
}
