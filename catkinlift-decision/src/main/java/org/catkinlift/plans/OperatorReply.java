package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** The answer to an operator. */
public sealed interface OperatorReply {

  /**
   * One plan and its state.
   *
   * @param plan the plan
   */
  record PlanShown(PlanRecord plan) implements OperatorReply {}

  /**
   * Some plans.
   *
   * @param plans the plans, newest first
   * @param hasMore whether there are older ones, which can be asked for with the last one's id
   */
  record PlansListed(ImmutableList<PlanRecord> plans, boolean hasMore) implements OperatorReply {}

  /**
   * Facts by name: the answer to status and explain requests.
   *
   * @param facts the facts, in the order in which they are printed
   * @param decisions recent decisions about the subject, newest first
   */
  record Facts(ImmutableMap<String, String> facts, ImmutableList<String> decisions)
      implements OperatorReply {
    /** The fact of a status that a client waits for after it confirmed a plan. */
    public static final String CONFIGURATION_VERSION = "configuration version";
  }

  /**
   * The request failed; nothing has changed.
   *
   * @param reason the reason
   * @param detail what an operator needs to know
   */
  record Failed(Reason reason, String detail) implements OperatorReply {}

  /** Why a request of an operator failed. */
  enum Reason {
    /** The named object does not exist. */
    NOT_FOUND,
    /** Something changed since the plan was made. */
    CONFLICT,
    /** The plan asks more than an upstream or availability zone bears. */
    REFUSED,
    /** The platform cannot be reached; ask again with the same plan. */
    PLATFORM_UNREACHABLE
  }
}
