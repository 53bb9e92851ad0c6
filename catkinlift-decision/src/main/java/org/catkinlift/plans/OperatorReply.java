package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** The reply to an operator's request. */
public sealed interface OperatorReply {

  /**
   * One plan and its state.
   *
   * @param plan the plan
   */
  record PlanShown(PlanRecord plan) implements OperatorReply {}

  /**
   * A page of plans.
   *
   * @param plans the plans, newest first
   * @param hasMore whether there are older plans; {@link OperatorRequest.ListPlans} returns them if
   *     given the id of the last plan of this page
   */
  record PlansListed(ImmutableList<PlanRecord> plans, boolean hasMore) implements OperatorReply {}

  /**
   * Named facts: the reply to status and explain requests.
   *
   * @param facts the facts, in the order in which they are printed
   * @param decisions recent decisions about the subject, newest first
   */
  record Facts(ImmutableMap<String, String> facts, ImmutableList<String> decisions)
      implements OperatorReply {
    /** The name of the fact in a status reply on which a client waits after it confirmed a plan. */
    public static final String CONFIGURATION_VERSION = "configuration version";
  }

  /**
   * The request failed; nothing has changed.
   *
   * @param reason the reason
   * @param detail the description for the operator
   */
  record Failed(Reason reason, String detail) implements OperatorReply {}

  /** Why an operator's request failed. */
  enum Reason {
    /** The named object does not exist. */
    NOT_FOUND,
    /** The state that the plan depends on has changed since it was made. */
    CONFLICT,
    /** The plan has refusals, for example because it would overload an upstream. */
    REFUSED,
    /** The platform cannot be reached; the request can be repeated. */
    PLATFORM_UNREACHABLE
  }
}
