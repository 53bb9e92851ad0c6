package org.catkinlift.standin.load;

/**
 * What the upstreams' own records say about the promises made to callers; all numbers must be 0.
 *
 * @param ordersRunTwice the orders that ran more than once
 * @param notRunButRan the requests that ran although the caller was told that they did not
 * @param ownerConflicts the times at which two upstreams believed to own one slot
 */
public record AuditReport(long ordersRunTwice, long notRunButRan, long ownerConflicts) {

  /**
   * Tells whether all promises were kept.
   *
   * @return true if all numbers are 0
   */
  public boolean isClean() {
    return ordersRunTwice == 0 && notRunButRan == 0 && ownerConflicts == 0;
  }
}
