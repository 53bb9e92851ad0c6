package org.catkinlift.plans;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;

/** A request of an operator. */
public sealed interface OperatorRequest {

  /**
   * Makes a plan from an intent.
   *
   * @param intent the intent
   */
  record MakePlan(Intent intent) implements OperatorRequest {}

  /**
   * Confirms a plan; repeating it does nothing twice.
   *
   * @param plan the plan
   */
  record ConfirmPlan(PlanId plan) implements OperatorRequest {}

  /**
   * Asks for one plan and its state.
   *
   * @param plan the plan
   */
  record ShowPlan(PlanId plan) implements OperatorRequest {}

  /**
   * Asks for plans, newest first.
   *
   * @param limit the greatest number of plans in the reply, from 1 to {@link #MAX_LIMIT}
   * @param before the plan after which the reply starts; from the newest plan if empty
   */
  record ListPlans(int limit, Optional<PlanId> before) implements OperatorRequest {
    /** Each plan holds a whole configuration, so that a longer reply may take megabytes. */
    public static final int MAX_LIMIT = 100;

    /** Checks the limit. */
    public ListPlans {
      checkArgument(limit >= 1 && limit <= MAX_LIMIT, "limit %s", limit);
    }

    /**
     * Returns the request for the newest plans, as many as a reply may have.
     *
     * @return the request
     */
    public static ListPlans newest() {
      return new ListPlans(MAX_LIMIT, Optional.empty());
    }
  }

  /** Asks for the state of this daemon and its cell. */
  record ShowStatus() implements OperatorRequest {}

  /**
   * Asks who owns a key and why.
   *
   * @param service the service
   * @param key the key
   */
  record ExplainKey(ServiceName service, String key) implements OperatorRequest {}
}
