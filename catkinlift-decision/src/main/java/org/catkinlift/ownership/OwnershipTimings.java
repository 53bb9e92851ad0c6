package org.catkinlift.ownership;

import java.time.Duration;

/**
 * Holds the times of promises, leases and heartbeats.
 *
 * @param promise how long a voter promises not to take a role
 * @param heartbeat the time between heartbeats, promise requests and grants
 * @param grantLease the lease of a grant and of a dispatch lease
 * @param platformLease the lease that a renewal of the role's row gives to its holder
 * @param platformRenewal the least time between two renewals of the row
 * @param longPromise the promise asked for while the platform is unreachable
 * @param clockMargin the share by which the clock rates of two hosts may differ
 */
public record OwnershipTimings(
    Duration promise,
    Duration heartbeat,
    Duration grantLease,
    Duration platformLease,
    Duration platformRenewal,
    Duration longPromise,
    double clockMargin) {
  private static final OwnershipTimings DEFAULTS =
      new OwnershipTimings(
          Duration.ofSeconds(1),
          Duration.ofMillis(250),
          Duration.ofSeconds(1),
          Duration.ofSeconds(1),
          Duration.ofMillis(400),
          Duration.ofMinutes(10),
          0.01);

  /**
   * Returns the times of the design.
   *
   * @return the times
   */
  public static OwnershipTimings defaults() {
    return DEFAULTS;
  }

  /**
   * Lengthens a time that another host counts, so that it has surely passed there too.
   *
   * @param duration the time counted by the other host
   * @return the time to count here, in nanoseconds
   */
  public long plusClockMargin(Duration duration) {
    return (long) Math.ceil(duration.toNanos() * (1 + clockMargin));
  }

  /**
   * Shortens a time that is left here, so that another host that counts it ends in time.
   *
   * @param nanos the time left here
   * @return the time that the other host may count; zero if none is left
   */
  public Duration minusClockMargin(long nanos) {
    return Duration.ofNanos(Math.max(0, (long) (nanos / (1 + clockMargin))));
  }
}
