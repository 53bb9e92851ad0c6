package org.catkinlift.quotas;

import java.time.Duration;
import org.catkinlift.tenants.Quota;

/**
 * Divides what a quota allows in a window between the shares that are leased to hosts and a small
 * reserve of each host for tenants of which it has no share.
 *
 * <p>The bound in any window is (rate × window + burst) × (1 + overshoot) + slack. What it allows
 * beyond rate × window + burst is the tolerance. A part of the tolerance is not used: requests that
 * waited for an upstream may run closer together than they were accepted.
 */
final class QuotaPolicy {
  /** The window of the bound. */
  static final Duration WINDOW = Duration.ofSeconds(5);

  private static final double OVERSHOOT = 0.1;
  private static final double SLACK_REQUESTS = 20;

  /** The part of the tolerance that shares use. */
  private static final double LEASED_TOLERANCE = 0.7;

  /** The part of the tolerance that all reserves hold when full. They gain as much in a window. */
  private static final double RESERVED_TOLERANCE = 0.08;

  private static final double WINDOW_SECONDS = WINDOW.toSeconds();

  private QuotaPolicy() {}

  private static double tolerance(Quota quota) {
    return OVERSHOOT * (quota.requestsPerSecond() * WINDOW_SECONDS + quota.burst())
        + SLACK_REQUESTS;
  }

  /** Returns the requests that hosts with shares may accept together in a window. */
  static double allowance(Quota quota) {
    return quota.requestsPerSecond() * WINDOW_SECONDS
        + quota.burst()
        + LEASED_TOLERANCE * tolerance(quota);
  }

  /**
   * Returns the capacity of a host's reserve, in whole requests. With many hosts only some have one
   * for a tenant, because less than one request is of no use.
   *
   * @param quota the quota of the tenant
   * @param hosts the number of hosts
   * @param draw a number from 0 to 1 that the host has for the tenant
   */
  static double reserve(Quota quota, int hosts, double draw) {
    return Math.floor(RESERVED_TOLERANCE * tolerance(quota) / Math.max(1, hosts) + draw);
  }
}
