package org.catkinlift.ownership;

import java.time.Duration;

/**
 * The durations of promises and leases and the interval of heartbeats.
 *
 * @param promise the time for which a voter promises not to acquire a role
 * @param heartbeat the interval of heartbeats, promise requests and grants
 * @param grantLease the duration of a grant and of a dispatch lease
 * @param platformLease the lease that a role's holder gets by writing the role's row
 * @param platformRenewal the minimum time between two renewals of the row
 * @param longPromise the duration of the promises requested while the platform is unreachable
 * @param clockMargin the maximum relative difference between the clock rates of two hosts
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
   * Returns the default timings.
   *
   * @return the timings
   */
  public static OwnershipTimings defaults() {
    return DEFAULTS;
  }

  /**
   * Extends a duration that another host measures, so that it has certainly elapsed there as well.
   *
   * @param duration the duration measured by the other host
   * @return the duration to measure here, in nanoseconds
   */
  public long plusClockMargin(Duration duration) {
    return (long) Math.ceil(duration.toNanos() * (1 + clockMargin));
  }

  /**
   * Reduces a remaining time, so that it ends in time when another host measures it.
   *
   * @param nanos the time that remains here
   * @return the duration that the other host may measure; zero if no time remains
   */
  public Duration minusClockMargin(long nanos) {
    return Duration.ofNanos(Math.max(0, (long) (nanos / (1 + clockMargin))));
  }
}
