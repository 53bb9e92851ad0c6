package org.catkinlift.quotas;

import java.time.Duration;

/** The decision whether a request is within the quota of its tenant. */
public sealed interface QuotaDecision {

  /** The request is within the quota. */
  record Granted() implements QuotaDecision {}

  /**
   * The request exceeds the quota.
   *
   * @param retryAfter the time until there is room for another request
   */
  record Exceeded(Duration retryAfter) implements QuotaDecision {}
}
