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
 * Makes plans from the newest configuration and stores them in the platform, so that any daemon can
 * show and confirm them.
 */
final class PlanMaking {

  /** What a reply of the platform is needed for. */
  private sealed interface Step {
    /** Reads the newest configuration. */
    record ReadHead(long operator, Intent intent) implements Step {}

    /**
     * Reads the assignments that the plan depends on, one service after the other.
     *
     * <p>A plan is made from what the platform has, as a confirmation on another daemon is. This
     * daemon may lack assignments of other cells or have some that are not written yet.
     */
    record ReadAssignments(
        long operator,
        Intent intent,
        ImmutableList<ServiceName> rest,
        ImmutableList<Assignment> read)
        implements Step {}

    /** Stores the plan, which must not exist yet. */
    record Store(long operator, Plan plan) implements Step {}

    /** Finds out whether the plan was stored after the answer was lost. */
    record Check(long operator, Plan plan) implements Step {}
  }

  private final VersionStore store;
  private final MembershipView members;
  private final CallNumbers calls;
  private final PresentLoads loads;
  private final Map<Long, Step> steps = new HashMap<>();

  PlanMaking(VersionStore store, MembershipView members, CallNumbers calls, PresentLoads loads) {
    this.store = store;
    this.members = members;
    this.calls = calls;
    this.loads = loads;
  }

  ImmutableList<ControlAction> start(long operator, Intent intent) {
    return ImmutableList.of(
        call(
            new Step.ReadHead(operator, intent), new PlatformRequest.ReadRows(Configuration.NAME)));
  }

  /** Continues with a reply of the platform; does nothing for calls of others. */
  ImmutableList<ControlAction> reply(long call, Reply reply, long nowNanos) {
    Step step = steps.remove(call);
    if (step == null) {
      return ImmutableList.of();
    }
    Optional<ImmutableList<Row>> rows = PlanRows.rows(reply);
    return switch (step) {
      case Step.ReadHead s ->
          rows.map(r -> headRead(s, r, nowNanos)).orElseGet(() -> notMade(s.operator()));
      case Step.ReadAssignments s ->
          rows.map(r -> assignmentsRead(s, r, nowNanos)).orElseGet(() -> notMade(s.operator()));
      case Step.Store s when reply instanceof Reply.Applied -> made(s.operator(), s.plan());
      case Step.Store s -> rows.map(r -> exists(s, r)).orElseGet(() -> check(s));
      case Step.Check s ->
          rows.flatMap(r -> PlanRows.plan(r, s.plan().id()))
              .map(r -> shown(s.operator(), r))
              .orElseGet(
                  () ->
                      unreachable(
                          s.operator(),
                          "plan "
                              + s.plan().id()
                              + " may have been stored; state the intent again"));
    };
  }

  private ImmutableList<ControlAction> headRead(
      Step.ReadHead step, ImmutableList<Row> rows, long nowNanos) {
    boolean changed = store.offer(PlanRows.configuration(rows));
    Intent intent = step.intent();
    ImmutableList<ServiceName> services =
        PlanBuilder.affectedServices(intent, basis(ImmutableList.of(), nowNanos));
    var next = new Step.ReadAssignments(step.operator(), intent, services, ImmutableList.of());
    return withRoutingChange(changed, readNext(next, nowNanos));
  }

  private ImmutableList<ControlAction> assignmentsRead(
      Step.ReadAssignments step, ImmutableList<Row> rows, long nowNanos) {
    ImmutableList<Assignment> found = PlanConditions.assignments(rows);
    boolean changed = false;
    for (Assignment assignment : found) {
      changed |= store.offer(assignment);
    }
    var read = ImmutableList.<Assignment>builder().addAll(step.read()).addAll(found).build();
    var next = new Step.ReadAssignments(step.operator(), step.intent(), step.rest(), read);
    return withRoutingChange(changed, readNext(next, nowNanos));
  }

  private static ImmutableList<ControlAction> withRoutingChange(
      boolean changed, ImmutableList<ControlAction> next) {
    return changed
        ? ImmutableList.<ControlAction>builder().add(new RoutingChanged()).addAll(next).build()
        : next;
  }

  private ImmutableList<ControlAction> readNext(Step.ReadAssignments step, long nowNanos) {
    ImmutableList<ServiceName> rest = step.rest();
    if (rest.isEmpty()) {
      Plan plan = PlanBuilder.plan(step.intent(), basis(step.read(), nowNanos));
      return storePlan(step.operator(), plan);
    }
    var next =
        new Step.ReadAssignments(
            step.operator(), step.intent(), rest.subList(1, rest.size()), step.read());
    String prefix = Assignment.PREFIX + rest.get(0) + "/";
    return ImmutableList.of(call(next, new PlatformRequest.ReadRows(prefix)));
  }

  private ImmutableList<ControlAction> storePlan(long operator, Plan plan) {
    String row = PlanRows.nameOf(plan.id());
    var record = new PlanRecord(plan, PlanRecord.State.OPEN);
    return ImmutableList.of(
        call(
            new Step.Store(operator, plan),
            new PlatformRequest.Transact(
                "make-" + plan.id(),
                ImmutableMap.of(row, 0L),
                ImmutableMap.of(row, new RowValue.PlanRow(record)))));
  }

  private PlanBasis basis(ImmutableList<Assignment> assignments, long nowNanos) {
    Configuration configuration = store.configuration();
    return new PlanBasis(
        configuration, assignments, loads.of(configuration, nowNanos), members.known());
  }

  private ImmutableList<ControlAction> exists(Step.Store step, ImmutableList<Row> rows) {
    return PlanRows.plan(rows, step.plan().id())
        .map(r -> shown(step.operator(), r))
        .orElseGet(() -> check(step));
  }

  private ImmutableList<ControlAction> check(Step.Store step) {
    return ImmutableList.of(
        call(
            new Step.Check(step.operator(), step.plan()),
            new PlatformRequest.ReadRows(PlanRows.nameOf(step.plan().id()))));
  }

  private ImmutableList<ControlAction> made(long operator, Plan plan) {
    return ImmutableList.<ControlAction>builder()
        .add(
            new Log(
                DecisionEvent.of(
                    EventCode.PLAN_MADE, "plan", plan.id(), "refusals", plan.refusals().size())))
        .addAll(shown(operator, new PlanRecord(plan, PlanRecord.State.OPEN)))
        .build();
  }

  private static ImmutableList<ControlAction> shown(long operator, PlanRecord record) {
    return ImmutableList.of(new ReplyToOperator(operator, new OperatorReply.PlanShown(record)));
  }

  private static ImmutableList<ControlAction> notMade(long operator) {
    return unreachable(operator, "no plan was made; ask again");
  }

  private static ImmutableList<ControlAction> unreachable(long operator, String detail) {
    return ImmutableList.of(
        new ReplyToOperator(
            operator, new OperatorReply.Failed(OperatorReply.Reason.PLATFORM_UNREACHABLE, detail)));
  }

  private ControlAction call(Step step, PlatformRequest request) {
    long call = calls.next();
    steps.put(call, step);
    return new CallPlatform(call, request);
  }
}
