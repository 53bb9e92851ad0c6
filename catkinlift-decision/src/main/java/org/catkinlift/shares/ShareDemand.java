package org.catkinlift.shares;

/**
 * What a host was asked for since its last report, and the limits of the bounded amount. All values
 * are in units of the amount.
 *
 * @param asked the units that were asked for, granted or not
 * @param spent the units that were granted
 * @param shortage what the host's bucket lacks to be full; what was asked for if it has no share
 * @param allowance the units that all hosts together may spend in a window
 * @param unitsPerSecond the rate that all hosts together may keep up
 */
public record ShareDemand(
    double asked, double spent, double shortage, double allowance, double unitsPerSecond) {
  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is negative or not finite, or nothing is allowed
   */
  public ShareDemand {
    if (!isValid(asked) || !isValid(spent) || !isValid(shortage) || !isValid(unitsPerSecond)) {
      throw new IllegalArgumentException("invalid demand: " + asked + " " + spent + " " + shortage);
    }
    if (!(allowance >= 1 && Double.isFinite(allowance))) {
      throw new IllegalArgumentException("invalid allowance: " + allowance);
    }
  }

  private static boolean isValid(double value) {
    return value >= 0 && Double.isFinite(value);
  }

  /**
   * Returns the sum of this and a later demand.
   *
   * @param later the later demand
   * @return the sum
   */
  public ShareDemand plus(ShareDemand later) {
    return new ShareDemand(
        asked + later.asked,
        spent + later.spent,
        later.shortage,
        later.allowance,
        later.unitsPerSecond);
  }
}
