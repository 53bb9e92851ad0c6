package org.catkinlift.plans;

/**
 * A plan as stored in the platform.
 *
 * @param plan the plan
 * @param state the state of the plan
 */
public record PlanRecord(Plan plan, State state) {

  /** The state of a plan. */
  public enum State {
    /** Made but not confirmed. */
    OPEN,
    /** Confirmed; the resulting configuration has been committed. */
    CONFIRMED,
    /**
     * Can no longer be confirmed, because the configuration has changed since the plan was made.
     */
    CONFLICT
  }
}
