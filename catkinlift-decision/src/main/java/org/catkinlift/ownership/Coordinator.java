package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
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
 * Decides for the cell during one term: dispatch leases, grants and the slots of each service.
 *
 * <p>It lives from the taking of the role to its loss.
 */
final class Coordinator {
  private final CellContext context;
  private final EpochIssuer epochs;
  private final LeaseBounds bounds;
  private final QuietTime quiet;
  private final UnknownGrants unknown;
  private final UpstreamLinks links;
  private final DispatchLeases leases;
  private final TreeMap<ServiceName, SlotControl> slots = new TreeMap<>();
  private ImmutableMap<UpstreamId, ServiceDefinition> services = ImmutableMap.of();
  private long takeoverTerm;
  private boolean handOverReady;

  Coordinator(
      CellContext context, long term, LeaseBounds bounds, QuietTime quiet, long unknownUntil) {
    this.context = context;
    this.epochs = new EpochIssuer(term);
    this.bounds = bounds;
    this.quiet = quiet;
    this.links = new UpstreamLinks(context.timings(), epochs);
    this.leases = new DispatchLeases(context.host(), context.timings(), epochs, context.store());
    this.unknown = UnknownGrants.until(links, unknownUntil);
  }

  long term() {
    return epochs.term();
  }

  /** Returns when all grants of this term have surely ended. */
  long latestGrantEnd() {
    return Math.max(links.latestEnd(), unknown.latestEnd());
  }

  /** Tells whether nothing is under way that a successor would not know of. */
  boolean isSettled() {
    return slots.values().stream().allMatch(SlotControl::isSettled);
  }

  boolean mayHoldLease(HostId host, long nowNanos) {
    return leases.mayHoldAny(host, nowNanos);
  }

  boolean hasAnsweredLately(HostId host, long nowNanos) {
    return nowNanos - leases.answeredAt(host) <= Duration.ofSeconds(1).toNanos();
  }

  /** The first answer of a daemon gets its leases at once. */
  void acknowledged(HostId from, HeartbeatAck ack, long nowNanos, Outbox out) {
    if (ack.term() != term()) {
      return;
    }
    boolean first = leases.answered(from) == 0;
    leases.acknowledged(from, ack, nowNanos);
    reported(from, ack.loads(), nowNanos);
    if (first) {
      sendLeases(ImmutableSet.of(from), nowNanos, out);
    }
  }

  void reported(HostId from, ImmutableList<UpstreamLoad> loads, long nowNanos) {
    for (UpstreamLoad load : loads) {
      load.release().ifPresent(r -> handOverReady |= leases.released(from, load.upstream(), r));
      Optional.ofNullable(services.get(load.upstream()))
          .map(s -> slots.get(s.name()))
          .ifPresent(s -> s.reported(load, nowNanos));
    }
  }

  void platformReplied(long call, PlatformRequest.Reply reply, long nowNanos, Outbox out) {
    slots.values().forEach(s -> s.platformReplied(call, reply, nowNanos, out));
  }

  void upstreamReplied(
      long call, UpstreamId upstream, UpstreamRequest.Reply reply, long nowNanos, Outbox out) {
    boolean first = links.ledger(upstream, nowNanos).reading().isEmpty();
    links
        .replied(call, upstream, reply, nowNanos, out)
        .ifPresent(
            a ->
                Optional.ofNullable(slots.get(a.call().service()))
                    .ifPresent(s -> s.releaseAnswered(a)));
    links
        .confirmedDispatcher(upstream, nowNanos)
        .filter(h -> isChecked(upstream))
        .ifPresent(h -> leases.confirmed(upstream, h));
    if (first && links.ledger(upstream, nowNanos).reading().isPresent()) {
      grant(upstream, nowNanos, out);
    }
  }

  private boolean isChecked(UpstreamId upstream) {
    ServiceDefinition service = services.get(upstream);
    return service != null && ServiceRules.startBound(service).isEmpty();
  }

  /** Follows the configuration, the home maps and the losses; called after each event. */
  void update(boolean mayMove, long nowNanos, Outbox out) {
    followConfiguration();
    followTakeoverTerm();
    for (SlotControl control : slots.values()) {
      boolean authority = bounds.authorityUntil(control.service(), nowNanos) > nowNanos;
      if (!authority || mayHoldUnknown(control.service(), nowNanos)) {
        continue;
      }
      control.update(mayMove, nowNanos, out).forEach(u -> grant(u, nowNanos, out));
    }
  }

  private boolean mayHoldUnknown(ServiceDefinition service, long nowNanos) {
    return ServiceRules.hold(service).isPresent() && !unknown.isOver(holdUpstreams(), nowNanos);
  }

  /** The upstreams of this cell that may have long grants. */
  private ImmutableSet<UpstreamId> holdUpstreams() {
    return services.entrySet().stream()
        .filter(e -> ServiceRules.hold(e.getValue()).isPresent())
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }

  private void followConfiguration() {
    ImmutableMap<ServiceName, ServiceDefinition> wanted =
        context.store().configuration().services();
    slots.values().removeIf(s -> !s.service().equals(wanted.get(s.service().name())));
    wanted.values().stream()
        .filter(s -> ServiceRules.keyed(s).isPresent())
        .filter(s -> !slots.containsKey(s.name()))
        .filter(s -> !s.upstreamsOf(context.cell()).isEmpty())
        .forEach(
            s -> slots.put(s.name(), new SlotControl(context, s, epochs, links, leases, quiet)));
    services =
        wanted.values().stream()
            .flatMap(s -> s.upstreamsOf(context.cell()).stream().map(u -> new Placed(u, s)))
            .collect(toImmutableMap(p -> p.upstream.id(), p -> p.service, (a, b) -> a));
  }

  private record Placed(UpstreamDefinition upstream, ServiceDefinition service) {}

  /** After the takeover role was held by others, the home maps have to be read again. */
  private void followTakeoverTerm() {
    long newest = bounds.takeoverTerm();
    if (newest == 0 || newest == takeoverTerm) {
      return;
    }
    slots.values().stream()
        .filter(s -> ServiceRules.isLapse(s.service()))
        .forEach(SlotControl::recover);
    takeoverTerm = newest;
  }

  /** Tells whether a dispatcher has released an upstream since the latest round. */
  boolean isHandOverReady() {
    return handOverReady;
  }

  /** Sends heartbeats and grants; called in each heartbeat interval and after a release. */
  ImmutableList<DispatchLease> round(
      ImmutableSet<HostId> hosts, ImmutableSet<HostId> dispatchers, long nowNanos, Outbox out) {
    handOverReady = false;
    slots.values().forEach(s -> s.round(nowNanos, out));
    slots.values().forEach(s -> s.askForReleases(nowNanos, out));
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
    leases.dropOwn();
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
        ImmutableList<DispatchLease> given = give(host, nowNanos);
        out.send(host, leases.heartbeat(context.cell(), term(), host, given));
      }
    }
    return hosts.contains(context.host()) ? give(context.host(), nowNanos) : ImmutableList.of();
  }

  /** An upstream that checks no grants is protected from a former dispatcher only by time. */
  private long dispatchUntil(UpstreamId upstream, long nowNanos) {
    boolean wait = !isChecked(upstream) && !quiet.isOver(nowNanos);
    return wait ? CellAuthority.NONE : bounds.dispatchUntil(services.get(upstream), nowNanos);
  }

  private ImmutableList<DispatchLease> give(HostId host, long nowNanos) {
    return leases.give(
        host,
        u -> dispatchUntil(u, nowNanos),
        u -> bounds.wantedDispatch(services.get(u), nowNanos),
        nowNanos);
  }

  private void grant(UpstreamId upstream, long nowNanos, Outbox out) {
    ServiceDefinition service = services.get(upstream);
    Optional<HostId> dispatcher = leases.dispatcher(upstream);
    if (service == null || dispatcher.isEmpty()) {
      return;
    }
    SlotControl control = slots.get(service.name());
    boolean replaces =
        control != null
            && mayHoldUnknown(service, nowNanos)
            && unknown.mayReplace(holdUpstreams(), nowNanos);
    boolean mayGrant = control == null || control.isLoaded() || replaces;
    GrantContent content =
        control == null || replaces
            ? GrantContent.withoutSlots(service.name(), upstream, dispatcher.get())
            : control.grantFor(upstream, dispatcher.get());
    long until = mayGrant ? bounds.grantUntil(service, nowNanos) : CellAuthority.NONE;
    links.grant(content, bounds.wantedGrant(service, nowNanos), until, nowNanos, out);
  }
}
