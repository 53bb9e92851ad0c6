package org.catkinlift.plans;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;

/** A request from an operator. */
public sealed interface OperatorRequest {

  /**
   * Makes a plan from an intent.
   *
   * @param intent the intent
   */
  record MakePlan(Intent intent) implements OperatorRequest {}

  /**
   * Confirms a plan. Confirming is idempotent.
   *
   * @param plan the plan
   */
  record ConfirmPlan(PlanId plan) implements OperatorRequest {}

  /**
   * Requests one plan and its state.
   *
   * @param plan the plan
   */
  record ShowPlan(PlanId plan) implements OperatorRequest {}

  /**
   * Requests plans, newest first.
   *
   * @param limit the maximum number of plans in the reply, from 1 to {@link #MAX_LIMIT}
   * @param before the last plan of the previous page; empty to start from the newest plan
   */
  record ListPlans(int limit, Optional<PlanId> before) implements OperatorRequest {
    /**
     * The maximum page size. Each plan holds a whole configuration, so a longer reply could take
     * megabytes.
     */
    public static final int MAX_LIMIT = 100;

    /** Checks the limit. */
    public ListPlans {
      checkArgument(limit >= 1 && limit <= MAX_LIMIT, "limit out of range: %s", limit);
    }

    /**
     * Returns a request for the newest plans, up to {@link #MAX_LIMIT} of them.
     *
     * @return the request
     */
    public static ListPlans newest() {
      return new ListPlans(MAX_LIMIT, Optional.empty());
    }
  }

  /** Requests the state of this daemon and its cell. */
  record ShowStatus() implements OperatorRequest {}

  /**
   * Requests the owner of a key and the decisions that led to it.
   *
   * @param service the service
   * @param key the key
   */
  record ExplainKey(ServiceName service, String key) implements OperatorRequest {}
}
