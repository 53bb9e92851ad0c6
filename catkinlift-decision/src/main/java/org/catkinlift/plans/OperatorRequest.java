package org.catkinlift.plans;

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

  /** Asks for all plans. */
  record ListPlans() implements OperatorRequest {}

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
