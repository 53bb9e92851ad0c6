package org.catkinlift.ranges;

/** Why keys are assigned under a new fencing token. */
public enum ReassignmentReason {
  /** The keys had no holder. */
  FIRST_HOLDER("first_holder"),
  /** The holder is not available any more. */
  HOLDER_LEFT("holder_left"),
  /** The holder was restarted or has another address. */
  HOLDER_RESTARTED("holder_restarted"),
  /** The holder has more load than another upstream. */
  BALANCE("balance"),
  /** The holder is overloaded, and this is its busiest key. */
  BUSY_KEY("busy_key"),
  /** The range is idle, and the holder of an adjacent range takes it over. */
  JOIN("join"),
  /** Two adjacent ranges of the same holder become one. */
  MERGE("merge");

  private final String logName;

  ReassignmentReason(String logName) {
    this.logName = logName;
  }

  /** Returns the name as it stands in log lines. */
  public String logName() {
    return logName;
  }
}
