package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.HeartbeatAck;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/**
 * Coordinates the cell during one term: dispatch leases, grants and the slots of each service.
 *
 * <p>An instance exists from the acquisition of the role until its loss.
 */
final class Coordinator {
  private final CellContext context;
  private final EpochIssuer epochs;
  private final LeaseBounds bounds;
  private final PlacementFreeze freeze;
  private final UnknownGrants unknownGrants;
  private final UpstreamGrantClient grantClient;
  private final DispatchLeases leases;
  private final TreeMap<ServiceName, SlotControl> slots = new TreeMap<>();
  private final Map<TableKey, UnitTable> tables = new HashMap<>();
  private ImmutableMap<UpstreamId, ServiceDefinition> services = ImmutableMap.of();
  private long takeoverTerm;
  private boolean handoverReady;

  Coordinator(
      CellContext context,
      long term,
      LeaseBounds bounds,
      PlacementFreeze freeze,
      long unknownGrantsUntil) {
    this.context = context;
    this.epochs = new EpochIssuer(term);
    this.bounds = bounds;
    this.freeze = freeze;
    this.grantClient = new UpstreamGrantClient(context.timings(), epochs);
    this.leases = new DispatchLeases(context.host(), context.timings(), epochs, context.store());
    this.unknownGrants = UnknownGrants.until(grantClient, unknownGrantsUntil);
  }

  long term() {
    return epochs.term();
  }

  /**
   * Returns the time at which all grants of this term, and long grants of an earlier run, have
   * certainly expired.
   */
  long latestGrantEnd() {
    return Math.max(grantClient.latestGrantEnd(), unknownGrants.latestGrantEnd());
  }

  /** Returns whether nothing is in progress that a successor could not read from the platform. */
  boolean isSettled() {
    return slots.values().stream().allMatch(SlotControl::isSettled);
  }

  boolean mayHoldLease(HostId host, long nowNanos) {
    return leases.mayHoldAnyLease(host, nowNanos);
  }

  boolean hasAnsweredRecently(HostId host, long nowNanos) {
    return nowNanos - leases.answeredAt(host) <= Duration.ofSeconds(1).toNanos();
  }

  /**
   * Handles an answer to a heartbeat. The first answer of a daemon is followed by its leases
   * immediately.
   */
  void onHeartbeatAck(HostId from, HeartbeatAck ack, long nowNanos, Outbox out) {
    if (ack.term() != term()) {
      return;
    }
    boolean first = leases.answeredSequence(from) == 0;
    leases.onHeartbeatAck(from, ack, nowNanos);
    onLoadReported(from, ack.loads(), nowNanos);
    if (first) {
      sendLeases(ImmutableSet.of(from), nowNanos, out);
    }
  }

  void onLoadReported(HostId from, ImmutableList<UpstreamLoad> loads, long nowNanos) {
    for (UpstreamLoad load : loads) {
      load.release().ifPresent(r -> handoverReady |= leases.onReleased(from, load.upstream(), r));
      Optional.ofNullable(services.get(load.upstream()))
          .map(s -> slots.get(s.name()))
          .ifPresent(s -> s.onLoadReported(load, nowNanos));
    }
  }

  void onPlatformReply(long call, PlatformRequest.Reply reply, long nowNanos, Outbox out) {
    slots.values().forEach(s -> s.onPlatformReply(call, reply, nowNanos, out));
  }

  void onUpstreamReply(
      long call, UpstreamId upstream, UpstreamRequest.Reply reply, long nowNanos, Outbox out) {
    boolean first = grantClient.ledger(upstream, nowNanos).reading().isEmpty();
    grantClient
        .onReply(call, upstream, reply, nowNanos, out)
        .ifPresent(
            a ->
                Optional.ofNullable(slots.get(a.call().service()))
                    .ifPresent(s -> s.onReleaseAnswer(a)));
    grantClient
        .confirmedDispatcher(upstream, nowNanos)
        .filter(h -> isChecked(upstream))
        .ifPresent(h -> leases.onDispatcherConfirmed(upstream, h));
    if (first && grantClient.ledger(upstream, nowNanos).reading().isPresent()) {
      grant(upstream, nowNanos, out);
    }
  }

  private boolean isChecked(UpstreamId upstream) {
    ServiceDefinition service = services.get(upstream);
    return service != null && ServiceRules.startBound(service).isEmpty();
  }

  /**
   * Applies the configuration and updates the slots of each service; called after events that
   * trigger decisions.
   */
  void update(boolean mayMove, long nowNanos, Outbox out) {
    applyConfiguration();
    applyTakeoverTerm();
    for (SlotControl slotControl : slots.values()) {
      boolean authority = bounds.authorityUntil(slotControl.service(), nowNanos) > nowNanos;
      if (!authority || mayHaveUnknownGrants(slotControl.service(), nowNanos)) {
        continue;
      }
      slotControl.update(mayMove, nowNanos, out).forEach(u -> grant(u, nowNanos, out));
    }
  }

  private boolean mayHaveUnknownGrants(ServiceDefinition service, long nowNanos) {
    return ServiceRules.hold(service).isPresent()
        && !unknownGrants.isOver(holdUpstreams(), nowNanos);
  }

  /** Returns the upstreams of this cell that may have long grants. */
  private ImmutableSet<UpstreamId> holdUpstreams() {
    return services.entrySet().stream()
        .filter(e -> ServiceRules.hold(e.getValue()).isPresent())
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }

  private void applyConfiguration() {
    ImmutableMap<ServiceName, ServiceDefinition> configured =
        context.store().configuration().services();
    slots.values().removeIf(s -> !s.service().equals(configured.get(s.service().name())));
    configured.values().stream()
        .filter(s -> ServiceRules.keyed(s).isPresent())
        .filter(s -> !slots.containsKey(s.name()))
        .filter(s -> !s.upstreamsOf(context.cell()).isEmpty())
        .forEach(s -> slots.put(s.name(), slotControl(s)));
    services =
        configured.values().stream()
            .flatMap(
                s -> s.upstreamsOf(context.cell()).stream().map(u -> new ServiceUpstream(u, s)))
            .collect(toImmutableMap(p -> p.upstream.id(), p -> p.service, (a, b) -> a));
  }

  private SlotControl slotControl(ServiceDefinition service) {
    return new SlotControl(
        context, service, unitTable(service), epochs, grantClient, leases, freeze, unknownGrants);
  }

  /**
   * Returns the units of a service. They are kept for the whole term, so that a change of the
   * service's definition loses no pending release.
   */
  private UnitTable unitTable(ServiceDefinition service) {
    return tables.computeIfAbsent(
        new TableKey(service.name(), ServiceRules.slotCount(service)),
        k -> new UnitTable(k.slotCount));
  }

  private record TableKey(ServiceName service, int slotCount) {}

  private record ServiceUpstream(UpstreamDefinition upstream, ServiceDefinition service) {}

  /**
   * Reads the home maps again after a new term of the takeover role, because another holder may
   * have changed them.
   */
  private void applyTakeoverTerm() {
    long newest = bounds.takeoverTerm();
    if (newest == 0 || newest == takeoverTerm) {
      return;
    }
    slots.values().stream()
        .filter(s -> ServiceRules.isLapse(s.service()))
        .forEach(SlotControl::requireReload);
    takeoverTerm = newest;
  }

  /** Returns whether a dispatcher has released an upstream since the latest round. */
  boolean isHandoverReady() {
    return handoverReady;
  }

  /**
   * Sends heartbeats and grants; called in each heartbeat interval and after a dispatcher has
   * released an upstream.
   */
  ImmutableList<DispatchLease> runRound(
      ImmutableSet<HostId> hosts, ImmutableSet<HostId> dispatchers, long nowNanos, Outbox out) {
    handoverReady = false;
    slots.values().forEach(s -> s.runRound(nowNanos, out));
    slots.values().forEach(s -> s.requestReleases(nowNanos, out));
    chooseDispatchers(dispatchers, out);
    ImmutableList<DispatchLease> own = sendLeases(hosts, nowNanos, out);
    services.keySet().forEach(u -> grant(u, nowNanos, out));
    return own;
  }

  private void chooseDispatchers(ImmutableSet<HostId> hosts, Outbox out) {
    ImmutableList<UpstreamId> changed = leases.choose(services.keySet(), hosts);
    if (changed.isEmpty()) {
      return;
    }
    leases.dropOwnLeases();
    context.store().offer(new DispatcherMap(context.cell(), epochs.next(), leases.dispatchers()));
    out.markChanged();
    for (UpstreamId upstream : changed) {
      HostId host = leases.dispatcher(upstream).orElseThrow();
      out.log(
          EventCode.DISPATCHER_ASSIGNED,
          ImmutableMap.of(
              DecisionEvent.UPSTREAM_FIELD,
              upstream.value(),
              "dispatcher",
              host.value(),
              "reason",
              "rendezvous hash over " + hosts.size() + " daemons"));
    }
  }

  private ImmutableList<DispatchLease> sendLeases(
      ImmutableSet<HostId> hosts, long nowNanos, Outbox out) {
    leases.nextSequence();
    for (HostId host : hosts) {
      if (!host.equals(context.host())) {
        ImmutableList<DispatchLease> issued = issueLeases(host, nowNanos);
        out.send(host, leases.heartbeat(context.cell(), term(), host, issued));
      }
    }
    return hosts.contains(context.host())
        ? issueLeases(context.host(), nowNanos)
        : ImmutableList.of();
  }

  /**
   * Returns the time by which dispatch leases must expire. No lease is issued during the placement
   * freeze for an upstream that does not check grants, because only time protects it from a former
   * dispatcher.
   */
  private long dispatchUntil(UpstreamId upstream, long nowNanos) {
    boolean frozen = !isChecked(upstream) && !freeze.isOver(nowNanos);
    return frozen
        ? RoleAuthority.NO_AUTHORITY
        : bounds.dispatchUntil(services.get(upstream), nowNanos);
  }

  private ImmutableList<DispatchLease> issueLeases(HostId host, long nowNanos) {
    return leases.issue(
        host,
        u -> dispatchUntil(u, nowNanos),
        u -> bounds.dispatchLease(services.get(u), nowNanos),
        nowNanos);
  }

  private void grant(UpstreamId upstream, long nowNanos, Outbox out) {
    ServiceDefinition service = services.get(upstream);
    Optional<HostId> dispatcher = leases.dispatcher(upstream);
    if (service == null || dispatcher.isEmpty()) {
      return;
    }
    SlotControl slotControl = slots.get(service.name());
    boolean replacesUnknown =
        slotControl != null
            && mayHaveUnknownGrants(service, nowNanos)
            && unknownGrants.mayReplace(holdUpstreams(), nowNanos);
    boolean mayGrant = slotControl == null || slotControl.isLoaded() || replacesUnknown;
    GrantContent content =
        slotControl == null || replacesUnknown
            ? GrantContent.withoutSlots(service.name(), upstream, dispatcher.get())
            : slotControl.grantFor(upstream, dispatcher.get());
    long until = mayGrant ? bounds.grantUntil(service, nowNanos) : RoleAuthority.NO_AUTHORITY;
    grantClient.grant(content, bounds.grantLease(service, nowNanos), until, nowNanos, out);
  }
}
