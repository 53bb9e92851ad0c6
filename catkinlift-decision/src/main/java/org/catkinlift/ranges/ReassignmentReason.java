package org.catkinlift.ranges;

import java.util.Locale;

/** Why keys are assigned under a new fencing token. */
public enum ReassignmentReason {
  /** The keys had no holder. */
  FIRST_HOLDER,
  /** The holder is not available any more. */
  HOLDER_LEFT,
  /** The holder was restarted or has another address. */
  HOLDER_RESTARTED,
  /** The holder has more load than another upstream. */
  BALANCE,
  /** The key alone takes more than its overloaded holder has left for it. */
  BUSY_KEY,
  /** The range is idle, and the holder of an adjacent range takes it over. */
  JOIN,
  /** Two adjacent ranges of the same holder become one. */
  MERGE;

  /** Returns the name as it stands in log lines. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
