package org.catkinlift.control.fake;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.configuration.DisseminationControl;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.VersionStore;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.DecisionLog;
import org.catkinlift.events.EventCode;
import org.catkinlift.membership.MembershipControl;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.PlanControl;

/** Runs the control components of one daemon; the test assigns the coordinator role. */
public final class FakeDaemon implements OwnershipView {
  private static final PeerMessage.Digest NO_VERSIONS = new PeerMessage.Digest(ImmutableMap.of());

  private final FakeSite site;
  private final HostDefinition definition;
  private final VersionStore store = new VersionStore();
  private final MembershipControl members;
  private final DisseminationControl dissemination;
  private final ImmutableList<ControlComponent> components;
  private final DecisionLog decisions = new DecisionLog();
  private final List<DecisionEvent> log = new ArrayList<>();
  private final List<OperatorReply> replies = new ArrayList<>();
  private final ArrayDeque<ControlEvent> deferredEvents = new ArrayDeque<>();
  private Optional<HostId> coordinator = Optional.empty();
  private long heartbeats;
  private boolean paused;
  private boolean stopped;

  FakeDaemon(
      FakeSite site, HostDefinition definition, ImmutableSet<HostDefinition> seeds, long seed) {
    this.site = site;
    this.definition = definition;
    var calls = new CallNumbers();
    members = MembershipControl.builder().self(definition).seeds(seeds).calls(calls).build();
    dissemination =
        DisseminationControl.builder()
            .store(store)
            .members(members)
            .ownership(this)
            .calls(calls)
            .random(new SplittableRandom(seed))
            .build();
    PlanControl plans =
        PlanControl.builder()
            .store(store)
            .members(members)
            .ownership(this)
            .calls(calls)
            .configurationAge(dissemination)
            .decisions(decisions)
            .build();
    components = ImmutableList.of(members, dissemination, plans);
  }

  void tick() {
    deliver(new ControlEvent.Tick());
  }

  /** Sends a coordinator's heartbeat to the other known daemons of its cell. */
  void heartbeat(long term) {
    if (paused || stopped) {
      return;
    }
    coordinator = Optional.of(id());
    heartbeats++;
    var heartbeat =
        new PeerMessage.Heartbeat(
            definition.cell(), term, heartbeats, 0, NO_VERSIONS, ImmutableList.of());
    members.known().stream()
        .filter(h -> h.cell().equals(definition.cell()) && !h.id().equals(id()))
        .forEach(h -> site.send(id(), h.id(), heartbeat));
  }

  public void deliver(ControlEvent event) {
    if (stopped) {
      return;
    }
    if (paused) {
      deferredEvents.add(event);
      return;
    }
    answerHeartbeat(event);
    long now = site.nowNanos();
    components.forEach(p -> p.handle(event, now).forEach(this::perform));
  }

  private void answerHeartbeat(ControlEvent event) {
    if (event instanceof ControlEvent.PeerMessageReceived m
        && m.message() instanceof PeerMessage.Heartbeat h) {
      coordinator = Optional.of(m.from());
      var ack =
          new PeerMessage.HeartbeatAck(
              h.cell(), h.term(), h.sequence(), NO_VERSIONS, ImmutableList.of());
      site.send(id(), m.from(), ack);
    }
  }

  private void perform(ControlAction action) {
    switch (action) {
      case ControlAction.SendToPeer a -> site.send(id(), a.to(), a.message());
      case ControlAction.CallPlatform a -> site.callPlatform(this, a);
      case ControlAction.Log a -> log(a.event());
      case ControlAction.ReplyToOperator a -> replies.add(a.reply());
      case ControlAction.CallUpstream a -> throw new AssertionError("unexpected " + a);
      case ControlAction.RoutingChanged a -> {}
      case ControlAction.HandoverCompleted a -> {}
    }
  }

  /** Records an event as if a control component of this daemon had logged it. */
  public void log(DecisionEvent event) {
    log.add(event);
    decisions.record(event, site.nowNanos());
  }

  public void pause() {
    paused = true;
  }

  public void resume() {
    paused = false;
    while (!deferredEvents.isEmpty()) {
      deliver(deferredEvents.remove());
    }
  }

  void stop() {
    stopped = true;
  }

  public HostId id() {
    return definition.id();
  }

  public HostDefinition definition() {
    return definition;
  }

  public MembershipControl members() {
    return members;
  }

  public DisseminationControl dissemination() {
    return dissemination;
  }

  public VersionStore store() {
    return store;
  }

  public ImmutableList<OperatorReply> replies() {
    return ImmutableList.copyOf(replies);
  }

  public long logged(EventCode code) {
    return log.stream().filter(e -> e.code() == code).count();
  }

  @Override
  public Optional<HostId> coordinator() {
    return coordinator;
  }

  @Override
  public boolean hasAuthority(long nowNanos) {
    return coordinator.equals(Optional.of(id()));
  }

  @Override
  public ImmutableList<DispatchLease> heldLeases(long nowNanos) {
    return ImmutableList.of();
  }
}
