package org.catkinlift.plans;

/**
 * A plan as it is kept in the platform's table.
 *
 * @param plan the plan
 * @param state where it stands
 */
public record PlanRecord(Plan plan, State state) {

  /** Where a plan stands. */
  public enum State {
    /** Made, not confirmed. */
    OPEN,
    /** Confirmed; the resulting configuration is accepted. */
    CONFIRMED,
    /** Can no longer be confirmed because the configuration it was made from has changed. */
    CONFLICT
  }
}
