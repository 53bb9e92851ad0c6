package org.catkinlift.quotas;

import java.time.Duration;

/** The decision whether a request is within the quota of its tenant. */
public sealed interface QuotaDecision {

  /** The request is within the quota. */
  record Granted() implements QuotaDecision {}

  /**
   * This host has no share of the quota yet. The coordinator answers the next report with one if
   * the tenant is below its quota, so the request should wait for that.
   *
   * @param maxWait the time after which a share is no longer to be expected
   */
  record Pending(Duration maxWait) implements QuotaDecision {}

  /**
   * The request exceeds the quota.
   *
   * @param retryAfter the time until there is room for another request
   */
  record Exceeded(Duration retryAfter) implements QuotaDecision {}
}
