package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.DispatchLeaseSnapshot;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.ownership.CellControl;

/** A host whose daemon can be paused and lost; it spreads versions by digests and pulls. */
final class FakeHost implements MembershipView {
  private static final long HEARD_NANOS = 1_000_000_000L;

  private final OwnershipWorld world;
  private final HostDefinition definition;
  private final List<ControlEvent> missed = new ArrayList<>();
  private final Map<HostId, Long> heardAt = new HashMap<>();
  private final Set<HostId> left = new HashSet<>();
  private VersionStore store = new VersionStore();
  private CellControl control;
  private double clockRate = 1;
  private long clockOffset;
  private int starts;
  private boolean paused;
  private boolean lost;
  private boolean handedOver;

  FakeHost(OwnershipWorld world, HostDefinition definition) {
    this.world = world;
    this.definition = definition;
    restart();
  }

  /** Starts the process anew, without memory. */
  void restart() {
    lost = false;
    paused = false;
    handedOver = false;
    missed.clear();
    heardAt.clear();
    store = new VersionStore();
    control =
        CellControl.builder()
            .self(definition)
            .store(store)
            .members(this)
            .calls(new CallNumbers())
            .run("run" + ++starts)
            .build();
  }

  /** Resumes a paused process and starts a lost one anew. */
  void recover() {
    if (lost) {
      restart();
    }
    if (paused) {
      resume();
    }
  }

  /** Ends the process. */
  void lose() {
    lost = true;
  }

  /** Stops the process; what arrives meanwhile is handled when it resumes. */
  void pause() {
    paused = true;
  }

  /** Resumes a paused process. */
  void resume() {
    paused = false;
    var events = ImmutableList.copyOf(missed);
    missed.clear();
    events.forEach(this::handle);
  }

  void setClockRate(double rate) {
    clockRate = rate;
  }

  /** Asks the daemon to stop by plan. */
  void stop() {
    handle(new ControlEvent.StopRequested());
  }

  boolean hasHandedOver() {
    return handedOver;
  }

  boolean hasAuthority() {
    return !lost && control.hasAuthority(now());
  }

  ImmutableList<DispatchLease> leases() {
    return lost ? ImmutableList.of() : control.heldLeases(now());
  }

  DispatchLeaseSnapshot duties() {
    return control.dispatchLeases(now());
  }

  VersionStore store() {
    return store;
  }

  HostId id() {
    return definition.id();
  }

  boolean runs() {
    return !lost && !paused;
  }

  /** Changes the rate of a running clock, which neither jumps nor goes back. */
  void setClockRateFromNow(double rate) {
    clockOffset = now() - (long) (world.nowNanos() * rate);
    clockRate = rate;
  }

  private long now() {
    return clockOffset + (long) (world.nowNanos() * clockRate);
  }

  void tick() {
    if (runs()) {
      handle(new ControlEvent.Tick());
    }
  }

  void gossip() {
    if (runs() && !handedOver) {
      known().stream()
          .filter(h -> !h.equals(definition))
          .forEach(h -> world.send(id(), h.id(), store.digest()));
    }
  }

  void handle(ControlEvent event) {
    if (lost) {
      return;
    }
    if (paused) {
      missed.add(event);
      return;
    }
    switch (event) {
      case ControlEvent.PeerMessageReceived m -> spread(m.from(), m.message());
      case ControlEvent.Tick t -> {}
      case ControlEvent.PlatformReplied p -> {}
      case ControlEvent.UpstreamReplied u -> {}
      case ControlEvent.LoadReported l -> {}
      case ControlEvent.OperatorRequested o -> {}
      case ControlEvent.StopRequested s -> {}
    }
    control.handle(event, now()).forEach(this::act);
    world.checks().handled(this);
  }

  private void spread(HostId from, PeerMessage message) {
    heardAt.put(from, now());
    switch (message) {
      case PeerMessage.Digest d -> pull(from, d);
      case PeerMessage.Heartbeat h -> pull(from, h.digest());
      case PeerMessage.HeartbeatAck a -> pull(from, a.digest());
      case PeerMessage.Pull p ->
          world.send(
              id(),
              from,
              new PeerMessage.PullReply(
                  p.names().stream()
                      .flatMap(n -> store.value(n).stream())
                      .collect(ImmutableList.toImmutableList())));
      case PeerMessage.PullReply r -> r.values().forEach(store::offer);
      case PeerMessage.Leaving l -> left.add(l.host());
      case PeerMessage.Hello h -> left.remove(from);
      case PeerMessage.PromiseRequest p -> {}
      case PeerMessage.Promise p -> {}
    }
  }

  private void pull(HostId from, PeerMessage.Digest digest) {
    ImmutableList<String> names = store.missing(digest);
    if (!names.isEmpty()) {
      world.send(id(), from, new PeerMessage.Pull(names));
    }
  }

  private void act(ControlAction action) {
    switch (action) {
      case ControlAction.SendToPeer s -> world.send(id(), s.to(), s.message());
      case ControlAction.CallPlatform c -> world.call(this, c);
      case ControlAction.CallUpstream c -> world.call(this, c);
      case ControlAction.Log l -> world.checks().logged(id(), l.event());
      case ControlAction.HandoverCompleted d -> handedOver = true;
      case ControlAction.RoutingChanged r -> {}
      case ControlAction.ReplyToOperator r -> {}
    }
  }

  @Override
  public HostDefinition self() {
    return definition;
  }

  @Override
  public ImmutableSet<HostDefinition> known() {
    return world.hostDefinitions();
  }

  @Override
  public ImmutableSet<HostId> live(CellId cell, long nowNanos) {
    return known().stream()
        .filter(h -> h.cell().equals(cell))
        .map(HostDefinition::id)
        .filter(h -> h.equals(id()) || isHeard(h, nowNanos))
        .collect(toImmutableSet());
  }

  private boolean isHeard(HostId host, long nowNanos) {
    Long at = heardAt.get(host);
    return at != null && !left.contains(host) && nowNanos - at <= HEARD_NANOS;
  }

  @Override
  public Optional<HostDefinition> find(HostId host) {
    return known().stream().filter(h -> h.id().equals(host)).findFirst();
  }
}
