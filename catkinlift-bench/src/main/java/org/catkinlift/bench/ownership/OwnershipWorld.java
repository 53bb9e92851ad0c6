package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.timer.VirtualTimerService;

/** Runs daemons, upstreams and the platform of one keyed service on virtual time. */
final class OwnershipWorld {
  private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(500);
  private static final Duration UPSTREAM_TIMEOUT = Duration.ofMillis(300);
  private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(500);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final FakeNetwork network = new FakeNetwork(timers);
  private final OwnershipChecks checks = new OwnershipChecks(this);
  private final FakePlatform platform = new FakePlatform(checks);
  private final Map<HostId, FakeHost> hosts = new TreeMap<>();
  private final Map<UpstreamId, FakeUpstream> upstreams = new TreeMap<>();
  private final ServiceDefinition service;
  private Configuration configuration;

  OwnershipWorld(ServiceDefinition service, ImmutableList<HostDefinition> hostDefinitions) {
    this.service = service;
    this.configuration =
        Configuration.builder()
            .version(1)
            .services(ImmutableMap.of(service.name(), service))
            .build();
    service.upstreams().forEach(u -> upstreams.put(u.id(), new FakeUpstream(u, timers, checks)));
    hostDefinitions.forEach(h -> hosts.put(h.id(), new FakeHost(this, h)));
    hosts.values().forEach(h -> timers.every(ControlComponent.TICK_INTERVAL, h::tick));
    hosts.values().forEach(h -> timers.every(GOSSIP_INTERVAL, h::gossip));
    timers.every(GOSSIP_INTERVAL, this::configure);
    configure();
  }

  /** Brings the accepted configuration to the hosts that reach the platform. */
  private void configure() {
    hosts.values().stream()
        .filter(h -> network.connects(h.id().value(), FakePlatform.NODE))
        .forEach(h -> h.store().offer(configuration));
  }

  void accept(Configuration next) {
    configuration = next.toBuilder().version(configuration.version() + 1).build();
    configure();
  }

  /**
   * Starts a process for an upstream at another address, to which the configuration moves the
   * upstream. The former process keeps running.
   */
  void moveUpstream(UpstreamId id, NetworkAddress address) {
    UpstreamDefinition before = upstreams.get(id).definition();
    var after =
        new UpstreamDefinition(
            id,
            before.zone(),
            before.cell(),
            address,
            before.concurrencyLimit(),
            before.connectionLimit());
    var process = new FakeUpstream(after, timers, checks);
    process.restart();
    upstreams.put(id, process);
    ServiceDefinition current = configuration.services().get(service.name());
    var changed =
        new ServiceDefinition(
            current.name(),
            current.kind(),
            current.zones(),
            current.upstreams().stream()
                .map(u -> u.id().equals(id) ? after : u)
                .collect(toImmutableList()),
            current.zoneLimit());
    accept(configuration.toBuilder().services(ImmutableMap.of(service.name(), changed)).build());
  }

  void advance(Duration duration) {
    timers.advance(duration);
  }

  void send(HostId from, HostId to, PeerMessage message) {
    network.send(
        from.value(),
        to.value(),
        () -> hosts.get(to).handle(new ControlEvent.PeerMessageReceived(from, message)));
  }

  void call(FakeHost host, ControlAction.CallPlatform call) {
    var answer = new Answer();
    timers.after(
        PLATFORM_TIMEOUT,
        () -> answer.give(() -> replied(host, call, new PlatformRequest.Reply.NoAnswer())));
    network.send(
        host.id().value(),
        FakePlatform.NODE,
        () ->
            platform
                .handle(call.request())
                .ifPresent(
                    reply ->
                        network.send(
                            FakePlatform.NODE,
                            host.id().value(),
                            () -> answer.give(() -> replied(host, call, reply)))));
  }

  private static void replied(
      FakeHost host, ControlAction.CallPlatform call, PlatformRequest.Reply reply) {
    host.handle(new ControlEvent.PlatformReplied(call.call(), reply));
  }

  void call(FakeHost host, ControlAction.CallUpstream call) {
    var answer = new Answer();
    timers.after(
        UPSTREAM_TIMEOUT,
        () -> answer.give(() -> replied(host, call, new UpstreamRequest.Reply.NoAnswer())));
    deliver(host, call, answer);
  }

  /** A frozen upstream takes the request once it resumes. */
  private void deliver(FakeHost host, ControlAction.CallUpstream call, Answer answer) {
    FakeUpstream upstream = upstreams.get(call.upstream());
    String node = call.upstream().value();
    network.send(
        host.id().value(),
        node,
        () -> {
          if (!upstream.answers()) {
            timers.after(GOSSIP_INTERVAL, () -> deliver(host, call, answer));
            return;
          }
          UpstreamRequest.Reply reply = upstream.handle(call.request());
          network.send(
              node, host.id().value(), () -> answer.give(() -> replied(host, call, reply)));
        });
  }

  private static void replied(
      FakeHost host, ControlAction.CallUpstream call, UpstreamRequest.Reply reply) {
    host.handle(new ControlEvent.UpstreamReplied(call.call(), call.upstream(), reply));
  }

  /** Gives only the first of an answer and its timeout. */
  private static final class Answer {
    private boolean given;

    private void give(Runnable delivery) {
      if (!given) {
        given = true;
        delivery.run();
      }
    }
  }

  /** The slots for which a request would be executed now by an upstream that accepts it. */
  BitSet servedSlots() {
    var served = new BitSet();
    for (FakeHost host : hosts.values()) {
      if (host.runs()) {
        addServed(host, served);
      }
    }
    return served;
  }

  private void addServed(FakeHost host, BitSet served) {
    ImmutableMap<Integer, SlotOwner> owners = slotOwners(host);
    ImmutableSet<UpstreamId> leased =
        host.leases().stream()
            .map(DispatchLease::upstream)
            .filter(u -> network.connects(host.id().value(), u.value()))
            .collect(toImmutableSet());
    owners.forEach(
        (slot, owner) -> {
          if (owner.owner().filter(leased::contains).isPresent()
              && serves(upstreams.get(owner.owner().get()), slot, owner.epoch(), host)) {
            served.set(slot);
          }
        });
  }

  private boolean serves(FakeUpstream target, int slot, Epoch epoch, FakeHost host) {
    return checksGrants() ? target.accepts(slot, epoch, host.id()) : target.answers();
  }

  ImmutableMap<Integer, SlotOwner> slotOwners(FakeHost host) {
    return host.store()
        .assignment(service.name(), host.self().cell())
        .map(a -> ImmutableMap.copyOf(a.slots()))
        .orElse(ImmutableMap.of());
  }

  ImmutableMap<Integer, UpstreamId> owners() {
    var owners = ImmutableMap.<Integer, UpstreamId>builder();
    for (FakeUpstream upstream : upstreams.values()) {
      upstream.slots().keySet().stream()
          .filter(upstream::owns)
          .forEach(s -> owners.put(s, upstream.definition().id()));
    }
    return owners.buildKeepingLast();
  }

  boolean checksGrants() {
    return switch (((ServiceKind.Keyed) service.kind()).grantChecking()) {
      case GrantChecking.Checked c -> true;
      case GrantChecking.Unchecked u -> false;
    };
  }

  int slotCount() {
    return ((ServiceKind.Keyed) service.kind()).slotCount();
  }

  long nowNanos() {
    return timers.nowNanos();
  }

  Configuration configuration() {
    return configuration;
  }

  OwnershipChecks checks() {
    return checks;
  }

  FakePlatform platform() {
    return platform;
  }

  FakeNetwork network() {
    return network;
  }

  ImmutableList<FakeHost> hosts() {
    return ImmutableList.copyOf(hosts.values());
  }

  ImmutableList<FakeUpstream> upstreams() {
    return ImmutableList.copyOf(upstreams.values());
  }

  Optional<FakeHost> coordinator(String zone) {
    return hosts.values().stream()
        .filter(h -> h.self().zone().value().equals(zone) && h.hasAuthority())
        .findFirst();
  }

  ImmutableSet<String> nodes(String zone) {
    var names = ImmutableSet.<String>builder();
    hosts.values().stream()
        .filter(h -> h.self().zone().value().equals(zone))
        .forEach(h -> names.add(h.id().value()));
    upstreams.values().stream()
        .filter(u -> u.definition().zone().value().equals(zone))
        .forEach(u -> names.add(u.definition().id().value()));
    return names.build();
  }

  ImmutableSet<HostDefinition> hostDefinitions() {
    return hosts.values().stream().map(FakeHost::self).collect(toImmutableSet());
  }

  ImmutableList<FakeUpstream> upstreams(String zone) {
    return upstreams.values().stream()
        .filter(u -> u.definition().zone().value().equals(zone))
        .collect(toImmutableList());
  }
}
