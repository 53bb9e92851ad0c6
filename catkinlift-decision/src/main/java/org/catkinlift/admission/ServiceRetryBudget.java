package org.catkinlift.admission;

import java.time.Duration;

/**
 * Limits the retries of one service from one daemon to a share of its requests.
 *
 * <p>Load pattern: upstreams that fail or shed under overload, where each retry adds to the load.
 * Confined to one thread.
 */
public final class ServiceRetryBudget {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private final double ratio;
  private final double windowSeconds;
  private double retries;
  private double requests;
  private long decayedAtNanos;

  /**
   * Creates a budget.
   *
   * @param ratio the allowed retries per request
   * @param window the time over which both are counted
   * @param nowNanos the current time
   */
  public ServiceRetryBudget(double ratio, Duration window, long nowNanos) {
    this.ratio = ratio;
    this.windowSeconds = window.toNanos() / SECOND_NANOS;
    this.decayedAtNanos = nowNanos;
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowNanos the current time
   */
  public void requestSeen(long nowNanos) {
    decay(nowNanos);
    requests += 1;
  }

  /**
   * Takes a retry from the budget.
   *
   * @param fixedAllowance this daemon's share of the retries that are allowed regardless of the
   *     number of requests, in one window
   * @param nowNanos the current time
   * @return false if the budget is exhausted
   */
  public boolean tryAcquire(double fixedAllowance, long nowNanos) {
    decay(nowNanos);
    if (retries + 1 > requests * ratio + fixedAllowance) {
      return false;
    }
    retries += 1;
    return true;
  }

  private void decay(long nowNanos) {
    double factor = Math.exp(-(nowNanos - decayedAtNanos) / SECOND_NANOS / windowSeconds);
    decayedAtNanos = nowNanos;
    retries *= factor;
    requests *= factor;
  }
}
