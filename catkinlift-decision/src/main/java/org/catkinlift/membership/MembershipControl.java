package org.catkinlift.membership;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Collection;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.Log;
import org.catkinlift.control.ControlAction.SendToPeer;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * Discovers the other daemons and detects failed ones.
 *
 * <p>Any message from a daemon shows that it is live; a daemon without messages for 1 s is
 * suspected. Not all members of a cell exchange messages otherwise, so there are two additional
 * mechanisms. Each daemon sends a small hello to the next two cell peers every 250 ms, which
 * reaches all members of cells of up to three daemons. In larger cells the coordinator, which
 * receives messages from all members, reports the live members to all of them after each change and
 * periodically.
 */
public final class MembershipControl implements ControlComponent, MembershipView {
  private final HostDefinition self;
  private final MemberTable table;
  private final HostListReader hostList;
  private final HelloScheduler helloScheduler;
  private final LiveMemberReporter liveMemberReporter;
  private ImmutableSet<HostId> lastLive;
  private boolean leaving;

  private MembershipControl(Builder builder) {
    self = checkNotNull(builder.self, "self");
    table = new MemberTable(self);
    hostList = new HostListReader(self.id(), checkNotNull(builder.calls, "calls"));
    helloScheduler = new HelloScheduler(self, builder.seeds, table);
    liveMemberReporter = new LiveMemberReporter(self, table);
    lastLive = ImmutableSet.of(self.id());
  }

  /**
   * Returns a builder without seeds.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos) {
    return switch (event) {
      case ControlEvent.Tick t -> onTick(nowNanos);
      case ControlEvent.PeerMessageReceived m -> onMessage(m.from(), m.message(), nowNanos);
      case ControlEvent.PlatformReplied r -> onReply(r.call(), r.reply(), nowNanos);
      case ControlEvent.StopRequested s -> onStop(nowNanos);
      case ControlEvent.UpstreamReplied u -> ImmutableList.of();
      case ControlEvent.LoadReported l -> ImmutableList.of();
      case ControlEvent.OperatorRequested o -> ImmutableList.of();
    };
  }

  private ImmutableList<ControlAction> onTick(long nowNanos) {
    if (leaving) {
      return ImmutableList.of();
    }
    ImmutableSet<HostId> live = table.live(self.cell(), nowNanos);
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(logChanges(live));
    actions.addAll(helloScheduler.tick(nowNanos));
    actions.addAll(liveMemberReporter.tick(live, nowNanos));
    hostList.tick(live, nowNanos).ifPresent(actions::add);
    return actions.build();
  }

  private ImmutableList<ControlAction> logChanges(ImmutableSet<HostId> live) {
    var actions = ImmutableList.<ControlAction>builder();
    Sets.difference(live, lastLive).forEach(h -> actions.add(log(EventCode.MEMBER_JOINED, h)));
    Sets.difference(lastLive, live).stream()
        .filter(h -> !table.hasLeft(h))
        .forEach(h -> actions.add(log(EventCode.MEMBER_SUSPECTED, h)));
    lastLive = live;
    return actions.build();
  }

  private ImmutableList<ControlAction> onMessage(HostId from, PeerMessage message, long nowNanos) {
    if (from.equals(self.id())) {
      return ImmutableList.of();
    }
    table.recordMessage(from, nowNanos);
    return switch (message) {
      case PeerMessage.Hello m -> onHello(from, m, nowNanos);
      case PeerMessage.Heartbeat m -> onHeartbeat(from, m, nowNanos);
      case PeerMessage.HeartbeatAck m -> onHeartbeatAck(m, nowNanos);
      case PeerMessage.Leaving m -> onLeaving(from, m.host(), nowNanos);
      case PeerMessage.PromiseRequest m -> ImmutableList.of();
      case PeerMessage.Promise m -> ImmutableList.of();
      case PeerMessage.Digest m -> ImmutableList.of();
      case PeerMessage.Pull m -> ImmutableList.of();
      case PeerMessage.PullReply m -> ImmutableList.of();
    };
  }

  private ImmutableList<ControlAction> onHello(
      HostId from, PeerMessage.Hello hello, long nowNanos) {
    if (!hello.self().id().equals(from)) {
      return ImmutableList.of();
    }
    boolean isNew = table.addOrUpdate(hello.self(), nowNanos);
    table.recordHello(from);
    if (hello.wantsReply()) {
      table.recordStart(from);
    }
    ImmutableSet<HostDefinition> added = addHosts(hello.known(), nowNanos);
    if (LiveMemberReporter.isReport(hello)) {
      table.recordLiveReport(from, cellMembers(hello.known()));
    }
    if (leaving) {
      return ImmutableList.of();
    }
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(helloScheduler.reply(hello));
    actions.addAll(helloScheduler.onHostsAdded(added));
    if (isNew && !hello.self().cell().equals(self.cell())) {
      actions.addAll(helloScheduler.announceToCell(ImmutableSet.of(hello.self())));
    }
    return actions.build();
  }

  private ImmutableSet<HostDefinition> addHosts(Collection<HostDefinition> hosts, long nowNanos) {
    return hosts.stream().filter(h -> table.addIfAbsent(h, nowNanos)).collect(toImmutableSet());
  }

  private ImmutableSet<HostId> cellMembers(ImmutableSet<HostDefinition> hosts) {
    return hosts.stream()
        .filter(h -> h.cell().equals(self.cell()))
        .map(HostDefinition::id)
        .collect(toImmutableSet());
  }

  private ImmutableList<ControlAction> onHeartbeat(
      HostId from, PeerMessage.Heartbeat heartbeat, long nowNanos) {
    if (heartbeat.cell().equals(self.cell())) {
      table.recordHeartbeat(from, heartbeat.term(), nowNanos);
    }
    return ImmutableList.of();
  }

  private ImmutableList<ControlAction> onHeartbeatAck(PeerMessage.HeartbeatAck ack, long nowNanos) {
    if (ack.cell().equals(self.cell())) {
      liveMemberReporter.recordHeartbeatAck(nowNanos);
    }
    return ImmutableList.of();
  }

  private ImmutableList<ControlAction> onLeaving(HostId from, HostId host, long nowNanos) {
    if (!from.equals(host)) {
      table.removeIfSilent(host, nowNanos);
      return ImmutableList.of();
    }
    return table.recordLeaving(host)
        ? ImmutableList.of(log(EventCode.MEMBER_LEFT, host))
        : ImmutableList.of();
  }

  private ImmutableList<ControlAction> onReply(
      long call, PlatformRequest.Reply reply, long nowNanos) {
    if (!hostList.isOwnCall(call) || !(reply instanceof PlatformRequest.Reply.Hosts hosts)) {
      return ImmutableList.of();
    }
    ImmutableSet<HostDefinition> added = addHosts(hosts.live(), nowNanos);
    hosts.live().forEach(h -> table.recordListed(h.id(), nowNanos));
    hosts.leaving().forEach(h -> table.recordListed(h, nowNanos));
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(helloScheduler.onHostsAdded(added));
    if (!hostList.markRead()) {
      // The hosts of the first list are new only to this daemon, and there may be 19,000 of them.
      actions.addAll(helloScheduler.announceToCell(added));
    }
    actions.addAll(removeExpired(nowNanos));
    return actions.build();
  }

  /**
   * Removes expired hosts. This is done only after a successful read of the host list, because
   * without one the absence of a host from it is unknown.
   */
  private ImmutableList<ControlAction> removeExpired(long nowNanos) {
    ImmutableSet<HostId> expired = table.removeExpired(nowNanos);
    return table.cellPeers().stream()
        .flatMap(
            peer -> expired.stream().map(h -> new SendToPeer(peer, new PeerMessage.Leaving(h))))
        .collect(toImmutableList());
  }

  private ImmutableList<ControlAction> onStop(long nowNanos) {
    if (leaving) {
      return ImmutableList.of();
    }
    leaving = true;
    table.recordSelfLeaving();
    return table.known().stream()
        .map(HostDefinition::id)
        .filter(h -> table.isResponsive(h, nowNanos) || table.cellPeers().contains(h))
        .map(h -> new SendToPeer(h, new PeerMessage.Leaving(self.id())))
        .collect(toImmutableList());
  }

  private ControlAction log(EventCode code, HostId host) {
    return new Log(DecisionEvent.of(code, "host", host, "cell", self.cell()));
  }

  @Override
  public HostDefinition self() {
    return self;
  }

  @Override
  public ImmutableSet<HostDefinition> known() {
    return table.known();
  }

  @Override
  public ImmutableSet<HostId> live(CellId cell, long nowNanos) {
    return table.live(cell, nowNanos);
  }

  @Override
  public Optional<HostDefinition> find(HostId host) {
    return table.find(host);
  }

  /** Builds a {@link MembershipControl}. */
  public static final class Builder {
    private HostDefinition self;
    private ImmutableSet<HostDefinition> seeds = ImmutableSet.of();
    private CallNumbers calls;

    private Builder() {}

    /**
     * Sets this daemon's definition.
     *
     * @param self the definition
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder self(HostDefinition self) {
      this.self = self;
      return this;
    }

    /**
     * Sets the peers from the settings, which this daemon contacts even while the platform is down.
     *
     * @param seeds the peers
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder seeds(ImmutableSet<HostDefinition> seeds) {
      this.seeds = seeds;
      return this;
    }

    /**
     * Sets the generator of platform call numbers, which the components of the daemon share.
     *
     * @param calls the generator
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder calls(CallNumbers calls) {
      this.calls = calls;
      return this;
    }

    /**
     * Builds the component.
     *
     * @return the component
     */
    public MembershipControl build() {
      return new MembershipControl(this);
    }
  }
}
