package org.catkinlift.shares;

/**
 * A host's part of a bounded amount that is spent as a token bucket, as fractions of the whole.
 *
 * @param rate the fraction of the rate at which the whole bucket is filled
 * @param burst the fraction of the capacity of the whole bucket
 */
public record Share(double rate, double burst) {
  /** No part at all. */
  public static final Share NONE = new Share(0, 0);

  /**
   * Checks the fractions.
   *
   * @throws IllegalArgumentException if a fraction is not between 0 and 1
   */
  public Share {
    if (!(rate >= 0 && rate <= 1 && burst >= 0 && burst <= 1)) {
      throw new IllegalArgumentException("invalid share: " + rate + " " + burst);
    }
  }

  /** Returns the larger fraction of each kind. */
  Share max(Share other) {
    return new Share(Math.max(rate, other.rate), Math.max(burst, other.burst));
  }

  /** Returns whether both fractions are zero. */
  boolean isNone() {
    return rate == 0 && burst == 0;
  }
}
