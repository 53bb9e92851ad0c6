package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.CallPlatform;
import org.catkinlift.control.ControlAction.ReplyToOperator;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.PlanId;

/** Reads stored plans from the platform for operators. */
final class PlanQueries {
  private static final Comparator<PlanRecord> NEWEST_FIRST =
      Comparator.comparingLong((PlanRecord r) -> r.plan().configurationVersion())
          .reversed()
          .thenComparing(r -> r.plan().id());

  /** A query that waits for a reply from the platform. */
  private sealed interface PendingQuery {
    long operatorCall();

    record SinglePlan(long operatorCall, PlanId plan) implements PendingQuery {}

    record PlanPage(long operatorCall, OperatorRequest.ListPlans request) implements PendingQuery {}
  }

  private final CallNumbers calls;
  private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();

  PlanQueries(CallNumbers calls) {
    this.calls = calls;
  }

  ImmutableList<ControlAction> show(long operatorCall, PlanId plan) {
    return readRows(new PendingQuery.SinglePlan(operatorCall, plan), PlanRows.rowName(plan));
  }

  ImmutableList<ControlAction> list(long operatorCall, OperatorRequest.ListPlans request) {
    return readRows(new PendingQuery.PlanPage(operatorCall, request), PlanRows.PREFIX);
  }

  private ImmutableList<ControlAction> readRows(PendingQuery query, String prefix) {
    long call = calls.next();
    pendingQueries.put(call, query);
    return ImmutableList.of(new CallPlatform(call, new PlatformRequest.ReadRows(prefix)));
  }

  /** Continues with a reply from the platform; ignores replies to calls of other components. */
  ImmutableList<ControlAction> reply(long call, Reply reply) {
    return Optional.ofNullable(pendingQueries.remove(call))
        .map(
            q ->
                ImmutableList.<ControlAction>of(
                    new ReplyToOperator(q.operatorCall(), answer(q, reply))))
        .orElse(ImmutableList.of());
  }

  private static OperatorReply answer(PendingQuery query, Reply reply) {
    Optional<ImmutableList<Row>> rows = PlanRows.rows(reply);
    if (rows.isEmpty()) {
      return new OperatorReply.Failed(
          OperatorReply.Reason.PLATFORM_UNREACHABLE,
          "the platform did not answer, so plans cannot be read; repeat the request");
    }
    return switch (query) {
      case PendingQuery.SinglePlan q -> singlePlan(q.plan(), rows.get());
      case PendingQuery.PlanPage q -> planPage(q.request(), newestFirst(rows.get()));
    };
  }

  private static OperatorReply singlePlan(PlanId plan, ImmutableList<Row> rows) {
    Optional<PlanRecord> record = PlanRows.plan(rows, plan);
    return record.isPresent()
        ? new OperatorReply.PlanShown(record.get())
        : new OperatorReply.Failed(
            OperatorReply.Reason.NOT_FOUND, "plan " + plan + " does not exist");
  }

  private static OperatorReply planPage(
      OperatorRequest.ListPlans request, ImmutableList<PlanRecord> plans) {
    int start = 0;
    if (request.before().isPresent()) {
      PlanId before = request.before().get();
      start = 1 + Iterables.indexOf(plans, p -> p.plan().id().equals(before));
      if (start == 0) {
        return new OperatorReply.Failed(
            OperatorReply.Reason.NOT_FOUND, "plan " + before + " does not exist");
      }
    }
    int end = Math.min(plans.size(), start + request.limit());
    return new OperatorReply.PlansListed(plans.subList(start, end), end < plans.size());
  }

  private static ImmutableList<PlanRecord> newestFirst(ImmutableList<Row> rows) {
    return PlanRows.values(rows.stream(), RowValue.PlanRow.class)
        .map(RowValue.PlanRow::plan)
        .sorted(NEWEST_FIRST)
        .collect(ImmutableList.toImmutableList());
  }
}
