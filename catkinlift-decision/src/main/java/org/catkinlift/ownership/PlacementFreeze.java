package org.catkinlift.ownership;

/**
 * The time during which a new coordinator must not move slots or change dispatchers.
 *
 * <p>A coordinator that resigns leaves its grants and dispatch leases valid, so its successor makes
 * no change until they have certainly expired. After a failure of the coordinator they have expired
 * before another daemon can acquire the role.
 *
 * @param untilNanos the end of the freeze
 */
record PlacementFreeze(long untilNanos) {
  /** No freeze: the coordinator may make changes immediately. */
  static final PlacementFreeze NONE = new PlacementFreeze(Long.MIN_VALUE);

  static PlacementFreeze after(long acquiredAt, OwnershipTimings timings) {
    return new PlacementFreeze(acquiredAt + timings.plusClockMargin(timings.grantLease()));
  }

  boolean isOver(long nowNanos) {
    return nowNanos >= untilNanos;
  }
}
