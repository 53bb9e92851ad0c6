package org.catkinlift.retries;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.limits.LatencyTracker;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.ServiceKind;

/**
 * Decides when a request is hedged, that is, sent to a second upstream because the first is slow.
 *
 * <p>One instance per service and daemon. Confined to one thread.
 */
public final class HedgingPolicy {
  private static final int PERCENTILE = 95;

  /** Limits hedges to 5 % of the requests. */
  private static final double TOKENS_PER_REQUEST = 0.05;

  /** Permits a short burst of hedges when an upstream becomes slow; included in the 5 %. */
  private static final double MAX_TOKENS = 10;

  private final LatencyTracker latencies = new LatencyTracker();
  private double tokens;

  /** Creates a policy with an empty budget. */
  public HedgingPolicy() {}

  /** Adds the tokens that a new request earns. */
  public void started() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /**
   * Records the latency of an answer.
   *
   * @param latency the time since the first attempt of its request
   */
  public void answered(Duration latency) {
    latencies.record(latency);
  }

  /**
   * Returns how long to wait for the first answer before hedging.
   *
   * @param requestClass whether the request may be executed more than once
   * @param kind how the work of the service is divided
   * @return the observed p95; empty if the request may not be hedged or too few answers were seen
   */
  public Optional<Duration> delay(RequestClass requestClass, ServiceKind kind) {
    if (!isAllowed(requestClass, kind) || !latencies.hasPercentiles()) {
      return Optional.empty();
    }
    return Optional.of(latencies.percentile(PERCENTILE));
  }

  /**
   * Takes one hedge from the budget after the delay has passed.
   *
   * @return false if the budget is exhausted; nothing is taken then
   */
  public boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private static boolean isAllowed(RequestClass requestClass, ServiceKind kind) {
    return switch (requestClass) {
      case RequestClass.AtMostOnce atMostOnce -> false;
      case RequestClass.Repeatable repeatable -> isShared(kind);
    };
  }

  private static boolean isShared(ServiceKind kind) {
    return switch (kind) {
      case ServiceKind.Shared shared -> true;
      case ServiceKind.Keyed keyed -> false;
    };
  }
}
