package org.catkinlift.admission;

import java.time.Duration;

/**
 * Bounds the second sends of one service from one daemon to a share of its requests.
 *
 * <p>Load pattern: upstreams that fail or shed under overload, where each repeat adds to the load.
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
   * @param ratio the allowed repeats per request
   * @param window the time over which both are counted
   * @param nowNanos the time
   */
  public ServiceRetryBudget(double ratio, Duration window, long nowNanos) {
    this.ratio = ratio;
    this.windowSeconds = window.toNanos() / SECOND_NANOS;
    this.decayedAtNanos = nowNanos;
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowNanos the time
   */
  public void requestSeen(long nowNanos) {
    decay(nowNanos);
    requests += 1;
  }

  /**
   * Takes the right to send a request once more.
   *
   * @param fixedAllowance this daemon's share of the repeats that are allowed besides, in one
   *     window
   * @param nowNanos the time
   * @return false if too many were sent once more already
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
