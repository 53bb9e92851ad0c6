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

/** Answers operators' questions about plans from the platform. */
final class PlanQueries {
  private static final Comparator<PlanRecord> NEWEST_FIRST =
      Comparator.comparingLong((PlanRecord r) -> r.plan().configurationVersion())
          .reversed()
          .thenComparing(r -> r.plan().id());

  /** An operator's question that waits for the platform. */
  private sealed interface Question {
    long operator();

    record One(long operator, PlanId plan) implements Question {}

    record Page(long operator, OperatorRequest.ListPlans request) implements Question {}
  }

  private final CallNumbers calls;
  private final Map<Long, Question> questions = new HashMap<>();

  PlanQueries(CallNumbers calls) {
    this.calls = calls;
  }

  ImmutableList<ControlAction> show(long operator, PlanId plan) {
    return ask(new Question.One(operator, plan), PlanRows.nameOf(plan));
  }

  ImmutableList<ControlAction> list(long operator, OperatorRequest.ListPlans request) {
    return ask(new Question.Page(operator, request), PlanRows.PLANS);
  }

  private ImmutableList<ControlAction> ask(Question question, String prefix) {
    long call = calls.next();
    questions.put(call, question);
    return ImmutableList.of(new CallPlatform(call, new PlatformRequest.ReadRows(prefix)));
  }

  /** Continues with a reply of the platform; does nothing for calls of others. */
  ImmutableList<ControlAction> reply(long call, Reply reply) {
    return Optional.ofNullable(questions.remove(call))
        .map(
            q ->
                ImmutableList.<ControlAction>of(
                    new ReplyToOperator(q.operator(), answer(q, reply))))
        .orElse(ImmutableList.of());
  }

  private static OperatorReply answer(Question question, Reply reply) {
    Optional<ImmutableList<Row>> rows = PlanRows.rows(reply);
    if (rows.isEmpty()) {
      return new OperatorReply.Failed(
          OperatorReply.Reason.PLATFORM_UNREACHABLE, "plans are kept in the platform; ask again");
    }
    return switch (question) {
      case Question.One q -> one(q.plan(), rows.get());
      case Question.Page q -> page(q.request(), all(rows.get()));
    };
  }

  private static OperatorReply one(PlanId plan, ImmutableList<Row> rows) {
    Optional<PlanRecord> record = PlanRows.plan(rows, plan);
    return record.isPresent()
        ? new OperatorReply.PlanShown(record.get())
        : new OperatorReply.Failed(
            OperatorReply.Reason.NOT_FOUND, "plan " + plan + " does not exist");
  }

  private static OperatorReply page(
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

  private static ImmutableList<PlanRecord> all(ImmutableList<Row> rows) {
    return PlanRows.values(rows.stream(), RowValue.PlanRow.class)
        .map(RowValue.PlanRow::plan)
        .sorted(NEWEST_FIRST)
        .collect(ImmutableList.toImmutableList());
  }
}
