package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
import org.catkinlift.model.Configuration;
import org.catkinlift.model.PlanId;

/**
 * Puts a plan's configuration into force if nothing that the plan rests on has changed.
 *
 * <p>One transaction writes the configuration and the plan's state, under the versions of the
 * configuration and plan that were read. If its answer is lost, the rows are read again: the plan's
 * state tells whether the transaction took effect. Repeating a confirmation is therefore safe at
 * any time.
 */
final class PlanConfirmation {
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);
  private static final int MAX_ATTEMPTS = 4;

  /** One operator's request; {@code sent} tells whether a transaction may be under way. */
  private record Attempt(long operator, PlanId plan, int number, boolean sent) {
    Attempt next() {
      return new Attempt(operator, plan, number + 1, sent);
    }

    Attempt afterSending() {
      return new Attempt(operator, plan, number, true);
    }
  }

  /** What a reply of the platform is needed for. */
  private sealed interface Step {
    /** Reads the plan. */
    record ReadPlan(Attempt attempt) implements Step {}

    /** Reads what the plan was made from, one prefix after the other. */
    record ReadBasis(
        Attempt attempt, PlanRecord plan, ImmutableList<Row> rows, ImmutableList<String> rest)
        implements Step {}

    /** Writes the configuration and the plan's state. */
    record Write(Attempt attempt, PlanRecord plan) implements Step {}
  }

  private record Waiting(Attempt attempt, long dueNanos) {}

  private final VersionStore store;
  private final MembershipView members;
  private final CallNumbers calls;
  private final PresentLoads loads;
  private final Map<Long, Step> steps = new HashMap<>();
  private final List<Waiting> waiting = new ArrayList<>();

  PlanConfirmation(
      VersionStore store, MembershipView members, CallNumbers calls, PresentLoads loads) {
    this.store = store;
    this.members = members;
    this.calls = calls;
    this.loads = loads;
  }

  ImmutableList<ControlAction> start(long operator, PlanId plan) {
    return read(new Attempt(operator, plan, 1, false));
  }

  private ImmutableList<ControlAction> read(Attempt attempt) {
    String row = PlanRows.nameOf(attempt.plan());
    return ImmutableList.of(call(new Step.ReadPlan(attempt), new PlatformRequest.ReadRows(row)));
  }

  /** Starts the attempts whose delay has passed. */
  ImmutableList<ControlAction> tick(long nowNanos) {
    var actions = ImmutableList.<ControlAction>builder();
    for (Waiting w : ImmutableList.copyOf(waiting)) {
      if (nowNanos >= w.dueNanos()) {
        waiting.remove(w);
        actions.addAll(read(w.attempt()));
      }
    }
    return actions.build();
  }

  /** Continues with a reply of the platform; does nothing for calls of others. */
  ImmutableList<ControlAction> reply(long call, Reply reply, long nowNanos) {
    Step step = steps.remove(call);
    if (step == null) {
      return ImmutableList.of();
    }
    Optional<ImmutableList<Row>> rows = PlanRows.rows(reply);
    return switch (step) {
      case Step.ReadPlan s ->
          rows.map(r -> planRead(s.attempt(), r, nowNanos))
              .orElseGet(() -> retry(s.attempt(), nowNanos));
      case Step.ReadBasis s ->
          rows.map(r -> basisRead(s, r, nowNanos)).orElseGet(() -> retry(s.attempt(), nowNanos));
      case Step.Write s when reply instanceof Reply.Applied ->
          confirmed(s.attempt(), s.plan().plan());
      case Step.Write s when reply instanceof Reply.Conflict -> readAgain(s.attempt(), nowNanos);
      case Step.Write s -> retry(s.attempt(), nowNanos);
    };
  }

  /** Finds out what changed between reading and writing. */
  private ImmutableList<ControlAction> readAgain(Attempt attempt, long nowNanos) {
    return attempt.number() < MAX_ATTEMPTS ? read(attempt.next()) : retry(attempt, nowNanos);
  }

  private ImmutableList<ControlAction> retry(Attempt attempt, long nowNanos) {
    if (attempt.number() < MAX_ATTEMPTS) {
      waiting.add(new Waiting(attempt.next(), nowNanos + RETRY_DELAY.toNanos()));
      return ImmutableList.of();
    }
    String detail =
        attempt.sent()
            ? mayBeConfirmed(attempt)
            : "plan " + attempt.plan() + " was not confirmed; confirm it again later";
    return failed(attempt, OperatorReply.Reason.PLATFORM_UNREACHABLE, detail);
  }

  private static String mayBeConfirmed(Attempt attempt) {
    return "plan " + attempt.plan() + " may have been confirmed; confirming it again is safe";
  }

  private ImmutableList<ControlAction> planRead(
      Attempt attempt, ImmutableList<Row> rows, long nowNanos) {
    Optional<PlanRecord> plan = PlanRows.plan(rows, attempt.plan());
    if (plan.isEmpty()) {
      return failed(
          attempt, OperatorReply.Reason.NOT_FOUND, "plan " + attempt.plan() + " does not exist");
    }
    return switch (plan.get().state()) {
      case CONFIRMED -> confirmed(attempt, plan.get().plan());
      case CONFLICT ->
          failed(
              attempt,
              OperatorReply.Reason.CONFLICT,
              "plan " + attempt.plan() + " had a conflict; state the intent again");
      case OPEN -> open(attempt, plan.get(), rows, nowNanos);
    };
  }

  private ImmutableList<ControlAction> open(
      Attempt attempt, PlanRecord record, ImmutableList<Row> rows, long nowNanos) {
    if (!record.plan().refusals().isEmpty()) {
      return failed(
          attempt, OperatorReply.Reason.REFUSED, String.join("; ", record.plan().refusals()));
    }
    var step = new Step.ReadBasis(attempt, record, rows, PlanConditions.prefixes(record.plan()));
    return readNext(step, nowNanos);
  }

  private ImmutableList<ControlAction> readNext(Step.ReadBasis step, long nowNanos) {
    ImmutableList<String> rest = step.rest();
    if (rest.isEmpty()) {
      return compare(step, nowNanos);
    }
    var next =
        new Step.ReadBasis(step.attempt(), step.plan(), step.rows(), rest.subList(1, rest.size()));
    return ImmutableList.of(call(next, new PlatformRequest.ReadRows(rest.get(0))));
  }

  private ImmutableList<ControlAction> basisRead(
      Step.ReadBasis step, ImmutableList<Row> read, long nowNanos) {
    var rows = ImmutableList.<Row>builder().addAll(step.rows()).addAll(read).build();
    return readNext(new Step.ReadBasis(step.attempt(), step.plan(), rows, step.rest()), nowNanos);
  }

  private ImmutableList<ControlAction> compare(Step.ReadBasis step, long nowNanos) {
    Configuration present = PlanRows.configuration(step.rows());
    var now =
        new PlanBasis(
            present,
            PlanConditions.assignments(step.rows()),
            loads.of(present, nowNanos),
            members.known());
    PlanConditions.Changes changes = PlanConditions.changes(step.plan().plan(), now);
    return changes.isEmpty()
        ? write(step.attempt(), step.plan(), step.rows())
        : conflict(step, changes);
  }

  private ImmutableList<ControlAction> write(
      Attempt attempt, PlanRecord record, ImmutableList<Row> rows) {
    Plan plan = record.plan();
    var confirmed = new PlanRecord(plan, PlanRecord.State.CONFIRMED);
    var request =
        new PlatformRequest.Transact(
            "confirm-" + plan.id(),
            PlanConditions.of(plan, rows),
            ImmutableMap.of(
                Configuration.NAME,
                new RowValue.ConfigurationRow(plan.result()),
                PlanRows.nameOf(plan.id()),
                new RowValue.PlanRow(confirmed)));
    return ImmutableList.of(call(new Step.Write(attempt.afterSending(), record), request));
  }

  private ImmutableList<ControlAction> conflict(
      Step.ReadBasis step, PlanConditions.Changes changes) {
    Plan plan = step.plan().plan();
    String changed = String.join("; ", changes.phrases());
    // A write under way cannot take effect under another configuration version, but under this one.
    boolean isUnknown = step.attempt().sent() && !changes.isFinal();
    String detail = isUnknown ? changed + "; " + mayBeConfirmed(step.attempt()) : changed;
    var actions = ImmutableList.<ControlAction>builder();
    if (changes.isFinal()) {
      actions.add(new CallPlatform(calls.next(), mark(plan, step.rows())));
    }
    return actions
        .add(
            new Log(
                DecisionEvent.of(EventCode.PLAN_CONFLICT, "plan", plan.id(), "changed", changed)))
        .addAll(failed(step.attempt(), OperatorReply.Reason.CONFLICT, detail))
        .build();
  }

  private static PlatformRequest mark(Plan plan, ImmutableList<Row> rows) {
    String row = PlanRows.nameOf(plan.id());
    return new PlatformRequest.Transact(
        "conflict-" + plan.id(),
        ImmutableMap.of(row, PlanConditions.versionOf(rows, row)),
        ImmutableMap.of(
            row, new RowValue.PlanRow(new PlanRecord(plan, PlanRecord.State.CONFLICT))));
  }

  private ImmutableList<ControlAction> confirmed(Attempt attempt, Plan plan) {
    var actions = ImmutableList.<ControlAction>builder();
    if (attempt.sent()) {
      actions.add(
          new Log(
              DecisionEvent.of(
                  EventCode.PLAN_CONFIRMED,
                  "plan",
                  plan.id(),
                  "version",
                  plan.result().version())));
    }
    if (store.offer(plan.result())) {
      actions.add(new RoutingChanged());
    }
    var record = new PlanRecord(plan, PlanRecord.State.CONFIRMED);
    actions.add(new ReplyToOperator(attempt.operator(), new OperatorReply.PlanShown(record)));
    return actions.build();
  }

  private static ImmutableList<ControlAction> failed(
      Attempt attempt, OperatorReply.Reason reason, String detail) {
    return ImmutableList.of(
        new ReplyToOperator(attempt.operator(), new OperatorReply.Failed(reason, detail)));
  }

  private ControlAction call(Step step, PlatformRequest request) {
    long call = calls.next();
    steps.put(call, step);
    return new CallPlatform(call, request);
  }
}
