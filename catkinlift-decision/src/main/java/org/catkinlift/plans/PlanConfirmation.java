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
 * Commits a plan's configuration if the plan is still valid.
 *
 * <p>One transaction writes the configuration and the plan's state on condition that the
 * configuration and the plan still have the versions that were read. If the reply is lost, the rows
 * are read again: the plan's state shows whether the transaction was applied. Repeating a
 * confirmation is therefore always safe.
 */
final class PlanConfirmation {
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);
  private static final int MAX_ATTEMPTS = 4;

  /**
   * One attempt to serve an operator's request.
   *
   * @param operatorCall the call to reply to
   * @param plan the plan to confirm
   * @param number the number of this attempt, from 1
   * @param writeSent whether a transaction of this or an earlier attempt may still be applied
   */
  private record Attempt(long operatorCall, PlanId plan, int number, boolean writeSent) {
    Attempt next() {
      return new Attempt(operatorCall, plan, number + 1, writeSent);
    }

    Attempt withWriteSent() {
      return new Attempt(operatorCall, plan, number, true);
    }
  }

  /** A step of a confirmation that waits for a reply from the platform. */
  private sealed interface Step {
    /** Reads the plan. */
    record ReadPlan(Attempt attempt) implements Step {}

    /** Reads the current inputs of the plan, one row prefix at a time. */
    record ReadInputs(
        Attempt attempt,
        PlanRecord plan,
        ImmutableList<Row> rows,
        ImmutableList<String> remainingPrefixes)
        implements Step {}

    /** Writes the configuration and the plan's state. */
    record Write(Attempt attempt, PlanRecord plan) implements Step {}
  }

  private record DelayedRetry(Attempt attempt, long dueNanos) {}

  private final VersionStore store;
  private final MembershipView members;
  private final CallNumbers calls;
  private final LoadEstimator loadEstimator;
  private final Map<Long, Step> pendingSteps = new HashMap<>();
  private final List<DelayedRetry> delayedRetries = new ArrayList<>();

  PlanConfirmation(
      VersionStore store, MembershipView members, CallNumbers calls, LoadEstimator loadEstimator) {
    this.store = store;
    this.members = members;
    this.calls = calls;
    this.loadEstimator = loadEstimator;
  }

  ImmutableList<ControlAction> start(long operatorCall, PlanId plan) {
    return readPlan(new Attempt(operatorCall, plan, 1, false));
  }

  private ImmutableList<ControlAction> readPlan(Attempt attempt) {
    String row = PlanRows.rowName(attempt.plan());
    return ImmutableList.of(call(new Step.ReadPlan(attempt), new PlatformRequest.ReadRows(row)));
  }

  /** Starts the attempts whose retry delay has passed. */
  ImmutableList<ControlAction> tick(long nowNanos) {
    var actions = ImmutableList.<ControlAction>builder();
    for (DelayedRetry retry : ImmutableList.copyOf(delayedRetries)) {
      if (nowNanos >= retry.dueNanos()) {
        delayedRetries.remove(retry);
        actions.addAll(readPlan(retry.attempt()));
      }
    }
    return actions.build();
  }

  /** Continues with a reply from the platform; ignores replies to calls of other components. */
  ImmutableList<ControlAction> reply(long call, Reply reply, long nowNanos) {
    Step step = pendingSteps.remove(call);
    if (step == null) {
      return ImmutableList.of();
    }
    Optional<ImmutableList<Row>> rows = PlanRows.rows(reply);
    return switch (step) {
      case Step.ReadPlan s ->
          rows.map(r -> onPlanRead(s.attempt(), r, nowNanos))
              .orElseGet(() -> retryLater(s.attempt(), nowNanos));
      case Step.ReadInputs s ->
          rows.map(r -> onInputsRead(s, r, nowNanos))
              .orElseGet(() -> retryLater(s.attempt(), nowNanos));
      case Step.Write s when reply instanceof Reply.Applied ->
          onConfirmed(s.attempt(), s.plan().plan());
      case Step.Write s when reply instanceof Reply.Conflict ->
          retryAfterConflict(s.attempt(), nowNanos);
      case Step.Write s -> retryLater(s.attempt(), nowNanos);
    };
  }

  /** Reads the rows again without delay to find what changed between the read and the write. */
  private ImmutableList<ControlAction> retryAfterConflict(Attempt attempt, long nowNanos) {
    return attempt.number() < MAX_ATTEMPTS
        ? readPlan(attempt.next())
        : retryLater(attempt, nowNanos);
  }

  private ImmutableList<ControlAction> retryLater(Attempt attempt, long nowNanos) {
    if (attempt.number() < MAX_ATTEMPTS) {
      delayedRetries.add(new DelayedRetry(attempt.next(), nowNanos + RETRY_DELAY.toNanos()));
      return ImmutableList.of();
    }
    String detail =
        attempt.writeSent()
            ? unknownOutcome(attempt)
            : "plan " + attempt.plan() + " was not confirmed; confirm it again later";
    return failed(attempt, OperatorReply.Reason.PLATFORM_UNREACHABLE, detail);
  }

  private static String unknownOutcome(Attempt attempt) {
    return "plan " + attempt.plan() + " may have been confirmed; confirming it again is safe";
  }

  private ImmutableList<ControlAction> onPlanRead(
      Attempt attempt, ImmutableList<Row> rows, long nowNanos) {
    Optional<PlanRecord> plan = PlanRows.plan(rows, attempt.plan());
    if (plan.isEmpty()) {
      return failed(
          attempt, OperatorReply.Reason.NOT_FOUND, "plan " + attempt.plan() + " does not exist");
    }
    return switch (plan.get().state()) {
      case CONFIRMED -> onConfirmed(attempt, plan.get().plan());
      case CONFLICT ->
          failed(
              attempt,
              OperatorReply.Reason.CONFLICT,
              "plan " + attempt.plan() + " conflicts with a later change; make a new plan");
      case OPEN -> confirmOpenPlan(attempt, plan.get(), rows, nowNanos);
    };
  }

  private ImmutableList<ControlAction> confirmOpenPlan(
      Attempt attempt, PlanRecord record, ImmutableList<Row> rows, long nowNanos) {
    if (!record.plan().refusals().isEmpty()) {
      return failed(
          attempt, OperatorReply.Reason.REFUSED, String.join("; ", record.plan().refusals()));
    }
    var step =
        new Step.ReadInputs(attempt, record, rows, PlanPreconditions.rowPrefixes(record.plan()));
    return readNext(step, nowNanos);
  }

  private ImmutableList<ControlAction> readNext(Step.ReadInputs step, long nowNanos) {
    ImmutableList<String> remaining = step.remainingPrefixes();
    if (remaining.isEmpty()) {
      return checkPreconditions(step, nowNanos);
    }
    var next =
        new Step.ReadInputs(
            step.attempt(), step.plan(), step.rows(), remaining.subList(1, remaining.size()));
    return ImmutableList.of(call(next, new PlatformRequest.ReadRows(remaining.get(0))));
  }

  private ImmutableList<ControlAction> onInputsRead(
      Step.ReadInputs step, ImmutableList<Row> read, long nowNanos) {
    var rows = ImmutableList.<Row>builder().addAll(step.rows()).addAll(read).build();
    return readNext(
        new Step.ReadInputs(step.attempt(), step.plan(), rows, step.remainingPrefixes()), nowNanos);
  }

  private ImmutableList<ControlAction> checkPreconditions(Step.ReadInputs step, long nowNanos) {
    Configuration current = PlanRows.configuration(step.rows());
    var currentInputs =
        new PlanInputs(
            current,
            PlanPreconditions.assignments(step.rows()),
            loadEstimator.estimate(current, nowNanos),
            members.known());
    PlanPreconditions.Changes changes =
        PlanPreconditions.changes(step.plan().plan(), currentInputs);
    return changes.isEmpty()
        ? write(step.attempt(), step.plan(), step.rows())
        : onConflict(step, changes);
  }

  private ImmutableList<ControlAction> write(
      Attempt attempt, PlanRecord record, ImmutableList<Row> rows) {
    Plan plan = record.plan();
    var confirmed = new PlanRecord(plan, PlanRecord.State.CONFIRMED);
    var request =
        new PlatformRequest.Transact(
            "confirm-" + plan.id(),
            PlanPreconditions.writeConditions(plan, rows),
            ImmutableMap.of(
                Configuration.NAME,
                new RowValue.ConfigurationRow(plan.result()),
                PlanRows.rowName(plan.id()),
                new RowValue.PlanRow(confirmed)));
    return ImmutableList.of(call(new Step.Write(attempt.withWriteSent(), record), request));
  }

  private ImmutableList<ControlAction> onConflict(
      Step.ReadInputs step, PlanPreconditions.Changes changes) {
    Plan plan = step.plan().plan();
    String changed = String.join("; ", changes.descriptions());
    // A write still in progress fails if the configuration version has changed; otherwise it may
    // be applied.
    boolean isOutcomeUnknown = step.attempt().writeSent() && !changes.isPermanent();
    String detail = isOutcomeUnknown ? changed + "; " + unknownOutcome(step.attempt()) : changed;
    var actions = ImmutableList.<ControlAction>builder();
    if (changes.isPermanent()) {
      actions.add(new CallPlatform(calls.next(), conflictMark(plan, step.rows())));
    }
    return actions
        .add(
            new Log(
                DecisionEvent.of(EventCode.PLAN_CONFLICT, "plan", plan.id(), "changed", changed)))
        .addAll(failed(step.attempt(), OperatorReply.Reason.CONFLICT, detail))
        .build();
  }

  private static PlatformRequest conflictMark(Plan plan, ImmutableList<Row> rows) {
    String row = PlanRows.rowName(plan.id());
    return new PlatformRequest.Transact(
        "conflict-" + plan.id(),
        ImmutableMap.of(row, PlanPreconditions.versionOf(rows, row)),
        ImmutableMap.of(
            row, new RowValue.PlanRow(new PlanRecord(plan, PlanRecord.State.CONFLICT))));
  }

  private ImmutableList<ControlAction> onConfirmed(Attempt attempt, Plan plan) {
    var actions = ImmutableList.<ControlAction>builder();
    if (attempt.writeSent()) {
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
    actions.add(new ReplyToOperator(attempt.operatorCall(), new OperatorReply.PlanShown(record)));
    return actions.build();
  }

  private static ImmutableList<ControlAction> failed(
      Attempt attempt, OperatorReply.Reason reason, String detail) {
    return ImmutableList.of(
        new ReplyToOperator(attempt.operatorCall(), new OperatorReply.Failed(reason, detail)));
  }

  private ControlAction call(Step step, PlatformRequest request) {
    long call = calls.next();
    pendingSteps.put(call, step);
    return new CallPlatform(call, request);
  }
}
