package org.catkinlift.admission;

import java.time.Duration;

/**
 * Decides how much sooner an upstream in another availability zone must answer to be preferred.
 *
 * <p>Load pattern: a zone with few or slowed upstreams beside zones with free ones. Traffic between
 * zones has a cost that grows with the size of the response, so that large responses leave the zone
 * only if they would be late otherwise. What counts as late follows from the route's target.
 */
public final class ZonePreference {
  /** The size of a response from which on the preference no longer grows, in bytes. */
  private static final double LARGE_RESPONSE_BYTES = 64 << 10;

  private static final double MIN_TARGET_SHARE = 0.05;
  private static final double MAX_TARGET_SHARE = 1;

  private ZonePreference() {}

  /**
   * Returns the advantage that an upstream in another availability zone must have.
   *
   * @param target the time within which a response has its full value
   * @param responseBytes the expected size of the response
   * @return the advantage in expected latency, in nanoseconds
   */
  public static long marginNanos(Duration target, double responseBytes) {
    double size = Math.min(1, responseBytes / LARGE_RESPONSE_BYTES);
    double share = MIN_TARGET_SHARE + (MAX_TARGET_SHARE - MIN_TARGET_SHARE) * size;
    return (long) (target.toNanos() * share);
  }
}
