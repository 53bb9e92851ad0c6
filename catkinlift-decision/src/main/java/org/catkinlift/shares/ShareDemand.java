package org.catkinlift.shares;

/**
 * What a host was asked for since its last report, granted or not, as a fraction of the capacity of
 * the whole bucket.
 *
 * @param amount the demand; may exceed 1
 * @param refillPerSecond the rate at which the whole bucket is filled
 */
public record ShareDemand(double amount, double refillPerSecond) {
  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is negative or not finite
   */
  public ShareDemand {
    if (!(amount >= 0 && Double.isFinite(amount))
        || !(refillPerSecond >= 0 && Double.isFinite(refillPerSecond))) {
      throw new IllegalArgumentException("invalid demand: " + amount + " " + refillPerSecond);
    }
  }

  /**
   * Returns the sum of this and a later demand.
   *
   * @param later the later demand
   * @return the sum
   */
  public ShareDemand plus(ShareDemand later) {
    return new ShareDemand(amount + later.amount, later.refillPerSecond);
  }
}
