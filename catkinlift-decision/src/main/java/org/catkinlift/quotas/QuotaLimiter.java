package org.catkinlift.quotas;

import org.catkinlift.tenants.Tenant;

/** Decides whether requests are within the quotas of their tenants. Confined to one thread. */
public final class QuotaLimiter {

  /**
   * Decides about a request and counts it as demand.
   *
   * @param tenant the tenant of the request
   * @param nowNanos the current time
   * @return the decision
   */
  public QuotaDecision acquire(Tenant tenant, long nowNanos) {
    return new QuotaDecision.Granted();
  }
}
