package org.catkinlift.ownership;

/**
 * Knows how long a new coordinator must leave slots and dispatchers where they are.
 *
 * <p>A coordinator that hands over by plan leaves its grants and leases in force, so its successor
 * waits until they have surely ended before it changes anything. After a loss they have ended
 * before the role could be taken.
 *
 * @param untilNanos when the time is over
 */
record PlacementFreeze(long untilNanos) {
  /** The state of a coordinator that may change everything at once. */
  static final PlacementFreeze NONE = new PlacementFreeze(Long.MIN_VALUE);

  static PlacementFreeze after(long acquiredAt, OwnershipTimings timings) {
    return new PlacementFreeze(acquiredAt + timings.plusClockMargin(timings.grantLease()));
  }

  boolean isOver(long nowNanos) {
    return nowNanos >= untilNanos;
  }
}
