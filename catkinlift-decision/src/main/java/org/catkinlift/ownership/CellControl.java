package org.catkinlift.ownership;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.DispatchLeaseSnapshot;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * Acquires and holds the coordinator role of this daemon's cell and, as the coordinator, assigns
 * the owners of its slots and the dispatchers of its upstreams.
 *
 * <p>Confined to the control thread.
 */
public final class CellControl implements ControlComponent, OwnershipView {
  private final CellContext context;
  private final CallNumbers calls;
  private Optional<CellParticipant> participant = Optional.empty();

  private CellControl(Builder builder) {
    HostDefinition self = requireNonNull(builder.self, "self");
    this.calls = requireNonNull(builder.calls, "calls");
    this.context =
        new CellContext(
            self,
            requireNonNull(builder.store, "store"),
            requireNonNull(builder.members, "members"),
            builder.timings,
            new RequestIds(self.id(), builder.run),
            new PlatformReachability());
  }

  /**
   * Returns a builder with default timings.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos) {
    CellParticipant current = participant.orElseGet(() -> new CellParticipant(context, nowNanos));
    participant = Optional.of(current);
    var out = new Outbox(calls);
    deliver(current, event, nowNanos, out);
    current.update(event, nowNanos, out);
    return out.actions();
  }

  private static void deliver(
      CellParticipant participant, ControlEvent event, long now, Outbox out) {
    switch (event) {
      case ControlEvent.Tick t -> participant.tick(now, out);
      case ControlEvent.PeerMessageReceived m ->
          deliverPeerMessage(participant, m.from(), m.message(), now, out);
      case ControlEvent.PlatformReplied r ->
          participant.onPlatformReply(r.call(), r.reply(), now, out);
      case ControlEvent.UpstreamReplied r -> participant.onUpstreamReply(r, now, out);
      case ControlEvent.LoadReported l -> participant.onLoadReported(l.loads(), now, out);
      case ControlEvent.OperatorRequested o -> {}
      case ControlEvent.StopRequested s -> participant.onStopRequested();
    }
  }

  private static void deliverPeerMessage(
      CellParticipant participant, HostId from, PeerMessage message, long now, Outbox out) {
    switch (message) {
      case PeerMessage.Heartbeat h -> participant.onHeartbeat(from, h, now, out);
      case PeerMessage.HeartbeatAck a -> participant.onHeartbeatAck(from, a, now, out);
      case PeerMessage.PromiseRequest r -> participant.onPromiseRequest(from, r, now, out);
      case PeerMessage.Promise p -> participant.onPromise(from, p, now);
      case PeerMessage.Leaving l -> participant.onLeaving(l.host());
      case PeerMessage.Hello h -> participant.onHello(from);
      case PeerMessage.Digest d -> {}
      case PeerMessage.Pull p -> {}
      case PeerMessage.PullReply p -> {}
    }
  }

  @Override
  public Optional<HostId> coordinator() {
    return participant.flatMap(CellParticipant::coordinatorHost);
  }

  @Override
  public boolean hasAuthority(long nowNanos) {
    return participant.filter(p -> p.hasAuthority(nowNanos)).isPresent();
  }

  @Override
  public ImmutableList<DispatchLease> heldLeases(long nowNanos) {
    return participant.map(p -> p.heldLeases(nowNanos)).orElse(ImmutableList.of());
  }

  @Override
  public DispatchLeaseSnapshot dispatchLeases(long nowNanos) {
    return participant
        .map(p -> p.dispatchLeases(nowNanos))
        .orElseGet(() -> OwnershipView.super.dispatchLeases(nowNanos));
  }

  /** Builds a {@link CellControl}. */
  public static final class Builder {
    private HostDefinition self;
    private VersionStore store;
    private MembershipView members;
    private CallNumbers calls;
    private OwnershipTimings timings = OwnershipTimings.defaults();
    private String run = "";

    private Builder() {}

    /**
     * Sets this daemon's own definition.
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
     * Sets the version store that all control components share.
     *
     * @param store the store
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder store(VersionStore store) {
      this.store = store;
      return this;
    }

    /**
     * Sets the membership view.
     *
     * @param members the view
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder members(MembershipView members) {
      this.members = members;
      return this;
    }

    /**
     * Sets the source of call numbers that all control components share.
     *
     * @param calls the source
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder calls(CallNumbers calls) {
      this.calls = calls;
      return this;
    }

    /**
     * Sets the durations of leases and promises. Defaults to {@link OwnershipTimings#defaults()}.
     *
     * @param timings the timings
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder timings(OwnershipTimings timings) {
      this.timings = timings;
      return this;
    }

    /**
     * Sets the name of this run of the daemon's process, which tells its writes from those of
     * earlier runs. Should be random.
     *
     * @param run the name
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder run(String run) {
      this.run = run;
      return this;
    }

    /**
     * Builds the control component.
     *
     * @return the control component
     */
    public CellControl build() {
      return new CellControl(this);
    }
  }
}
