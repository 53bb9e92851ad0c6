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
record QuietTime(long untilNanos) {
  /** The state of a coordinator that may change everything at once. */
  static final QuietTime NONE = new QuietTime(Long.MIN_VALUE);

  static QuietTime after(long takenAt, OwnershipTimings timings) {
    return new QuietTime(takenAt + timings.withMargin(timings.grantLease()));
  }

  boolean isOver(long nowNanos) {
    return nowNanos >= untilNanos;
  }
}
