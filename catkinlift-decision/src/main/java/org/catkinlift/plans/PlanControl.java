package org.catkinlift.plans;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Optional;
import org.catkinlift.configuration.ConfigurationAge;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.ReplyToOperator;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.VersionStore;
import org.catkinlift.events.DecisionLog;

/**
 * Handles operators' requests: makes, shows and confirms plans and explains the current state.
 *
 * <p>Plans are stored in the platform, so a plan made on one daemon can be confirmed on another.
 */
public final class PlanControl implements ControlComponent {
  private final LoadEstimator loadEstimator = new LoadEstimator();
  private final PlanCreation creation;
  private final PlanConfirmation confirmation;
  private final PlanQueries queries;
  private final StatusQueries statusQueries;

  private PlanControl(Builder builder) {
    VersionStore store = checkNotNull(builder.store, "store");
    MembershipView members = checkNotNull(builder.members, "members");
    CallNumbers calls = checkNotNull(builder.calls, "calls");
    creation = new PlanCreation(store, members, calls, loadEstimator);
    confirmation = new PlanConfirmation(store, members, calls, loadEstimator);
    queries = new PlanQueries(calls);
    statusQueries =
        new StatusQueries(
            store,
            members,
            checkNotNull(builder.ownership, "ownership"),
            builder.configurationAge,
            checkNotNull(builder.decisions, "decisions"));
  }

  /**
   * Returns a builder.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos) {
    return switch (event) {
      case ControlEvent.Tick t -> confirmation.tick(nowNanos);
      case ControlEvent.PeerMessageReceived m -> onMessage(m.message(), nowNanos);
      case ControlEvent.PlatformReplied r -> onReply(r.call(), r.reply(), nowNanos);
      case ControlEvent.LoadReported l -> onLoads(l.loads(), nowNanos);
      case ControlEvent.OperatorRequested o -> onRequest(o.call(), o.request(), nowNanos);
      case ControlEvent.UpstreamReplied u -> ImmutableList.of();
      case ControlEvent.StopRequested s -> ImmutableList.of();
    };
  }

  private ImmutableList<ControlAction> onMessage(PeerMessage message, long nowNanos) {
    return message instanceof PeerMessage.HeartbeatAck ack
        ? onLoads(ack.loads(), nowNanos)
        : ImmutableList.of();
  }

  private ImmutableList<ControlAction> onLoads(
      ImmutableList<PeerMessage.UpstreamLoad> reported, long nowNanos) {
    loadEstimator.addSamples(reported, nowNanos);
    return ImmutableList.of();
  }

  private ImmutableList<ControlAction> onReply(
      long call, PlatformRequest.Reply reply, long nowNanos) {
    return ImmutableList.<ControlAction>builder()
        .addAll(creation.reply(call, reply, nowNanos))
        .addAll(confirmation.reply(call, reply, nowNanos))
        .addAll(queries.reply(call, reply))
        .build();
  }

  private ImmutableList<ControlAction> onRequest(
      long call, OperatorRequest request, long nowNanos) {
    return switch (request) {
      case OperatorRequest.MakePlan r -> creation.start(call, r.intent());
      case OperatorRequest.ConfirmPlan r -> confirmation.start(call, r.plan());
      case OperatorRequest.ShowPlan r -> queries.show(call, r.plan());
      case OperatorRequest.ListPlans r -> queries.list(call, r);
      case OperatorRequest.ShowStatus r -> answer(call, statusQueries.status(nowNanos));
      case OperatorRequest.ExplainKey r ->
          answer(call, statusQueries.explain(r.service(), r.key(), nowNanos));
    };
  }

  private static ImmutableList<ControlAction> answer(long call, OperatorReply reply) {
    return ImmutableList.of(new ReplyToOperator(call, reply));
  }

  /** Builds a {@link PlanControl}. */
  public static final class Builder {
    private VersionStore store;
    private MembershipView members;
    private OwnershipView ownership;
    private CallNumbers calls;
    private DecisionLog decisions = new DecisionLog();
    private ConfigurationAge configurationAge = nowNanos -> Optional.empty();

    private Builder() {}

    /**
     * Sets the store that the components of the daemon share.
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
     * Sets the view of the known daemons.
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
     * Sets the view of the coordinator role.
     *
     * @param ownership the view
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder ownership(OwnershipView ownership) {
      this.ownership = ownership;
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
     * Sets the decision log that the explain reply draws on; an empty one by default.
     *
     * @param decisions the log, which the control loop writes
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder decisions(DecisionLog decisions) {
      this.decisions = decisions;
      return this;
    }

    /**
     * Sets the source of the configuration age in the status reply; unknown by default.
     *
     * @param configurationAge the source
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder configurationAge(ConfigurationAge configurationAge) {
      this.configurationAge = configurationAge;
      return this;
    }

    /**
     * Builds the component.
     *
     * @return the component
     */
    public PlanControl build() {
      return new PlanControl(this);
    }
  }
}
