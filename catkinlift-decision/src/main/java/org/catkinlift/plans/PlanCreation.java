package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.CallPlatform;
import org.catkinlift.control.ControlAction.Log;
import org.catkinlift.control.ControlAction.ReplyToOperator;
import org.catkinlift.control.ControlAction.RoutingChanged;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.control.VersionStore;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.ServiceName;

/**
 * Creates plans from the newest configuration and stores them in the platform, where any daemon can
 * read and confirm them.
 */
final class PlanCreation {

  /** A step of plan creation that waits for a reply from the platform. */
  private sealed interface Step {
    /** Reads the newest configuration. */
    record ReadConfiguration(long operatorCall, Intent intent) implements Step {}

    /**
     * Reads the assignments that the plan depends on, one service at a time.
     *
     * <p>Plans are computed from the rows in the platform, because a confirmation on another daemon
     * is checked against those. This daemon may lack assignments of other cells, or have some that
     * are not written yet.
     */
    record ReadAssignments(
        long operatorCall,
        Intent intent,
        ImmutableList<ServiceName> remainingServices,
        ImmutableList<Assignment> assignments)
        implements Step {}

    /** Stores the plan, which must not exist yet. */
    record StorePlan(long operatorCall, Plan plan) implements Step {}

    /** Reads the plan to find whether it was stored, after the reply to the write was lost. */
    record VerifyStored(long operatorCall, Plan plan) implements Step {}
  }

  private final VersionStore store;
  private final MembershipView members;
  private final CallNumbers calls;
  private final LoadEstimator loadEstimator;
  private final Map<Long, Step> pendingSteps = new HashMap<>();

  PlanCreation(
      VersionStore store, MembershipView members, CallNumbers calls, LoadEstimator loadEstimator) {
    this.store = store;
    this.members = members;
    this.calls = calls;
    this.loadEstimator = loadEstimator;
  }

  ImmutableList<ControlAction> start(long operatorCall, Intent intent) {
    return ImmutableList.of(
        call(
            new Step.ReadConfiguration(operatorCall, intent),
            new PlatformRequest.ReadRows(Configuration.NAME)));
  }

  /** Continues with a reply from the platform; ignores replies to calls of other components. */
  ImmutableList<ControlAction> reply(long call, Reply reply, long nowNanos) {
    Step step = pendingSteps.remove(call);
    if (step == null) {
      return ImmutableList.of();
    }
    Optional<ImmutableList<Row>> rows = PlanRows.rows(reply);
    return switch (step) {
      case Step.ReadConfiguration s ->
          rows.map(r -> onConfigurationRead(s, r, nowNanos))
              .orElseGet(() -> creationFailed(s.operatorCall()));
      case Step.ReadAssignments s ->
          rows.map(r -> onAssignmentsRead(s, r, nowNanos))
              .orElseGet(() -> creationFailed(s.operatorCall()));
      case Step.StorePlan s when reply instanceof Reply.Applied ->
          onPlanStored(s.operatorCall(), s.plan());
      case Step.StorePlan s -> rows.map(r -> onPlanExists(s, r)).orElseGet(() -> verifyStored(s));
      case Step.VerifyStored s ->
          rows.flatMap(r -> PlanRows.plan(r, s.plan().id()))
              .map(r -> planShown(s.operatorCall(), r))
              .orElseGet(
                  () ->
                      unreachable(
                          s.operatorCall(),
                          "plan " + s.plan().id() + " may have been stored; repeat the request"));
    };
  }

  private ImmutableList<ControlAction> onConfigurationRead(
      Step.ReadConfiguration step, ImmutableList<Row> rows, long nowNanos) {
    boolean changed = store.offer(PlanRows.configuration(rows));
    Intent intent = step.intent();
    ImmutableList<ServiceName> services =
        PlanBuilder.affectedServices(intent, inputs(ImmutableList.of(), nowNanos));
    var next = new Step.ReadAssignments(step.operatorCall(), intent, services, ImmutableList.of());
    return withRoutingChange(changed, readNext(next, nowNanos));
  }

  private ImmutableList<ControlAction> onAssignmentsRead(
      Step.ReadAssignments step, ImmutableList<Row> rows, long nowNanos) {
    ImmutableList<Assignment> received = PlanPreconditions.assignments(rows);
    boolean changed = false;
    for (Assignment assignment : received) {
      changed |= store.offer(assignment);
    }
    var assignments =
        ImmutableList.<Assignment>builder().addAll(step.assignments()).addAll(received).build();
    var next =
        new Step.ReadAssignments(
            step.operatorCall(), step.intent(), step.remainingServices(), assignments);
    return withRoutingChange(changed, readNext(next, nowNanos));
  }

  private static ImmutableList<ControlAction> withRoutingChange(
      boolean changed, ImmutableList<ControlAction> next) {
    return changed
        ? ImmutableList.<ControlAction>builder().add(new RoutingChanged()).addAll(next).build()
        : next;
  }

  private ImmutableList<ControlAction> readNext(Step.ReadAssignments step, long nowNanos) {
    ImmutableList<ServiceName> remaining = step.remainingServices();
    if (remaining.isEmpty()) {
      Plan plan = PlanBuilder.plan(step.intent(), inputs(step.assignments(), nowNanos));
      return storePlan(step.operatorCall(), plan);
    }
    var next =
        new Step.ReadAssignments(
            step.operatorCall(),
            step.intent(),
            remaining.subList(1, remaining.size()),
            step.assignments());
    String prefix = Assignment.PREFIX + remaining.get(0) + "/";
    return ImmutableList.of(call(next, new PlatformRequest.ReadRows(prefix)));
  }

  private ImmutableList<ControlAction> storePlan(long operatorCall, Plan plan) {
    String row = PlanRows.rowName(plan.id());
    var record = new PlanRecord(plan, PlanRecord.State.OPEN);
    return ImmutableList.of(
        call(
            new Step.StorePlan(operatorCall, plan),
            new PlatformRequest.Transact(
                "make-" + plan.id(),
                ImmutableMap.of(row, 0L),
                ImmutableMap.of(row, new RowValue.PlanRow(record)))));
  }

  private PlanInputs inputs(ImmutableList<Assignment> assignments, long nowNanos) {
    Configuration configuration = store.configuration();
    return new PlanInputs(
        configuration,
        assignments,
        loadEstimator.estimate(configuration, nowNanos),
        members.known());
  }

  private ImmutableList<ControlAction> onPlanExists(Step.StorePlan step, ImmutableList<Row> rows) {
    return PlanRows.plan(rows, step.plan().id())
        .map(r -> planShown(step.operatorCall(), r))
        .orElseGet(() -> verifyStored(step));
  }

  private ImmutableList<ControlAction> verifyStored(Step.StorePlan step) {
    return ImmutableList.of(
        call(
            new Step.VerifyStored(step.operatorCall(), step.plan()),
            new PlatformRequest.ReadRows(PlanRows.rowName(step.plan().id()))));
  }

  private ImmutableList<ControlAction> onPlanStored(long operatorCall, Plan plan) {
    return ImmutableList.<ControlAction>builder()
        .add(
            new Log(
                DecisionEvent.of(
                    EventCode.PLAN_MADE, "plan", plan.id(), "refusals", plan.refusals().size())))
        .addAll(planShown(operatorCall, new PlanRecord(plan, PlanRecord.State.OPEN)))
        .build();
  }

  private static ImmutableList<ControlAction> planShown(long operatorCall, PlanRecord record) {
    return ImmutableList.of(new ReplyToOperator(operatorCall, new OperatorReply.PlanShown(record)));
  }

  private static ImmutableList<ControlAction> creationFailed(long operatorCall) {
    return unreachable(
        operatorCall, "the platform did not answer, so no plan was made; repeat the request");
  }

  private static ImmutableList<ControlAction> unreachable(long operatorCall, String detail) {
    return ImmutableList.of(
        new ReplyToOperator(
            operatorCall,
            new OperatorReply.Failed(OperatorReply.Reason.PLATFORM_UNREACHABLE, detail)));
  }

  private ControlAction call(Step step, PlatformRequest request) {
    long call = calls.next();
    pendingSteps.put(call, step);
    return new CallPlatform(call, request);
  }
}
