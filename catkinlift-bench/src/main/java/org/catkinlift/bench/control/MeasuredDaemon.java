package org.catkinlift.bench.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.configuration.DisseminationControl;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.DigestExchange;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.VersionStore;
import org.catkinlift.membership.MembershipControl;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.plans.PlanControl;

/**
 * Runs the membership, dissemination and plan components of one daemon and measures its traffic and
 * processing time.
 */
final class MeasuredDaemon implements OwnershipView {
  private final SimulatedNetwork network;
  private final HostDefinition definition;
  private final HostId coordinator;
  private final VersionStore store = new VersionStore();
  private final MembershipControl membership;
  private final ImmutableList<ControlComponent> components;
  private final Map<HostId, DigestExchange> exchanges = new HashMap<>();
  private final long incarnation;
  private final TrafficCounter sent = new TrafficCounter();
  private final TrafficCounter received = new TrafficCounter();
  private long heartbeatSequence;
  private long busyNanos;
  private long ticks;
  private long platformReads;

  MeasuredDaemon(SimulatedNetwork network, HostDefinition definition, HostId coordinator) {
    this.network = network;
    this.definition = definition;
    this.coordinator = coordinator;
    this.incarnation = new SplittableRandom(definition.id().hashCode()).nextLong();
    var callNumbers = new CallNumbers();
    membership =
        MembershipControl.builder()
            .self(definition)
            .seeds(ImmutableSet.of())
            .calls(callNumbers)
            .build();
    DisseminationControl dissemination =
        DisseminationControl.builder()
            .store(store)
            .members(membership)
            .ownership(this)
            .calls(callNumbers)
            .random(new SplittableRandom(definition.id().hashCode()))
            .build();
    PlanControl plans =
        PlanControl.builder()
            .store(store)
            .members(membership)
            .ownership(this)
            .calls(callNumbers)
            .configurationAge(dissemination)
            .build();
    components = ImmutableList.of(membership, dissemination, plans);
  }

  void tick() {
    ticks++;
    handle(new ControlEvent.Tick());
  }

  /**
   * Sends a heartbeat without leases to each peer in the cell, in place of the ownership component
   * of a real coordinator.
   */
  void sendHeartbeats() {
    heartbeatSequence++;
    network.cellPeers(definition).forEach(h -> send(h, heartbeat(exchange(h))));
  }

  private PeerMessage heartbeat(DigestExchange exchange) {
    DigestExchange.Outgoing outgoing = exchange.next(heartbeatSequence);
    return new PeerMessage.Heartbeat(
        definition.cell(),
        1,
        heartbeatSequence,
        heartbeatSequence - 1,
        outgoing.digest(),
        new DigestRange(0, outgoing.base(), exchange.acknowledged()),
        ImmutableList.of());
  }

  private DigestExchange exchange(HostId host) {
    return exchanges.computeIfAbsent(host, h -> new DigestExchange(store));
  }

  void receive(HostId from, PeerMessage message, int bytes) {
    received.count(message, bytes);
    switch (message) {
      case PeerMessage.Heartbeat h -> send(from, acknowledgment(h, exchange(from)));
      case PeerMessage.HeartbeatAck a ->
          exchange(from).received(a.range().incarnation(), a.sequence(), a.range());
      case PeerMessage.Hello h -> {}
      case PeerMessage.PromiseRequest p -> {}
      case PeerMessage.Promise p -> {}
      case PeerMessage.Digest d -> {}
      case PeerMessage.Pull p -> {}
      case PeerMessage.PullReply p -> {}
      case PeerMessage.Leaving l -> {}
    }
    handle(new ControlEvent.PeerMessageReceived(from, message));
  }

  private PeerMessage acknowledgment(PeerMessage.Heartbeat heartbeat, DigestExchange exchange) {
    exchange.received(heartbeat.term(), heartbeat.sequence(), heartbeat.range());
    DigestExchange.Outgoing outgoing = exchange.next(heartbeat.sequence());
    return new PeerMessage.HeartbeatAck(
        heartbeat.cell(),
        heartbeat.term(),
        heartbeat.sequence(),
        outgoing.digest(),
        new DigestRange(incarnation, outgoing.base(), exchange.acknowledged()),
        ImmutableList.of());
  }

  void handle(ControlEvent event) {
    long start = System.nanoTime();
    var actions = ImmutableList.<ControlAction>builder();
    for (ControlComponent component : components) {
      actions.addAll(component.handle(event, network.nowNanos()));
    }
    busyNanos += System.nanoTime() - start;
    actions.build().forEach(this::execute);
  }

  private void execute(ControlAction action) {
    switch (action) {
      case ControlAction.SendToPeer a -> send(a.to(), a.message());
      case ControlAction.CallPlatform a -> {
        platformReads++;
        network.callPlatform(this, a);
      }
      case ControlAction.CallUpstream a -> {}
      case ControlAction.RoutingChanged a -> {}
      case ControlAction.ReplyToOperator a -> {}
      case ControlAction.Log a -> {}
      case ControlAction.HandoverCompleted a -> {}
    }
  }

  private void send(HostId to, PeerMessage message) {
    int bytes = TrafficCounter.frameSize(message);
    sent.count(message, bytes);
    network.send(definition.id(), to, message, bytes);
  }

  void resetMeasurements() {
    sent.reset();
    received.reset();
    busyNanos = 0;
    ticks = 0;
    platformReads = 0;
  }

  HostDefinition definition() {
    return definition;
  }

  boolean isCoordinator() {
    return coordinator.equals(definition.id());
  }

  VersionStore store() {
    return store;
  }

  MembershipControl membership() {
    return membership;
  }

  TrafficCounter sent() {
    return sent;
  }

  TrafficCounter received() {
    return received;
  }

  /** Returns the mean time spent on handling events per tick interval, in microseconds. */
  double microsPerTick() {
    return busyNanos / 1e3 / Math.max(1, ticks);
  }

  long platformReads() {
    return platformReads;
  }

  @Override
  public Optional<HostId> coordinator() {
    return Optional.of(coordinator);
  }

  @Override
  public boolean hasAuthority(long nowNanos) {
    return isCoordinator();
  }

  @Override
  public ImmutableList<DispatchLease> heldLeases(long nowNanos) {
    return ImmutableList.of();
  }
}
