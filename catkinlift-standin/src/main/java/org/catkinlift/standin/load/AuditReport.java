package org.catkinlift.standin.load;

/**
 * Violations of the guarantees to callers, found in the activity records of the upstreams; all
 * numbers must be 0.
 *
 * @param ordersRunTwice the number of orders that ran more than once
 * @param notRunButRan the number of requests that ran although they were reported as not run
 * @param ownerConflicts the number of overlaps in which two upstreams considered themselves the
 *     owner of the same slot or key
 */
public record AuditReport(long ordersRunTwice, long notRunButRan, long ownerConflicts) {

  /**
   * Returns whether no violation was found.
   *
   * @return true if all numbers are 0
   */
  public boolean isClean() {
    return ordersRunTwice == 0 && notRunButRan == 0 && ownerConflicts == 0;
  }
}
