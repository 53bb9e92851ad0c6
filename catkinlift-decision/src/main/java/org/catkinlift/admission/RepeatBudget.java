package org.catkinlift.admission;

import java.time.Duration;

/**
 * Bounds the second sends of one service from one daemon to a share of its requests.
 *
 * <p>Load pattern: upstreams that fail or shed under overload, where each repeat adds to the load.
 * Confined to one thread.
 */
public final class RepeatBudget {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private final double ratio;
  private final double windowSeconds;
  private double repeats;
  private double requests;
  private long agedAtNanos;

  /**
   * Creates a budget.
   *
   * @param ratio the allowed repeats per request
   * @param window the time over which both are counted
   * @param nowNanos the time
   */
  public RepeatBudget(double ratio, Duration window, long nowNanos) {
    this.ratio = ratio;
    this.windowSeconds = window.toNanos() / SECOND_NANOS;
    this.agedAtNanos = nowNanos;
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowNanos the time
   */
  public void requestSeen(long nowNanos) {
    age(nowNanos);
    requests += 1;
  }

  /**
   * Takes the right to send a request once more.
   *
   * @param slack this daemon's share of the repeats that are allowed besides, in one window
   * @param nowNanos the time
   * @return false if too many were sent once more already
   */
  public boolean tryTake(double slack, long nowNanos) {
    age(nowNanos);
    if (repeats + 1 > requests * ratio + slack) {
      return false;
    }
    repeats += 1;
    return true;
  }

  private void age(long nowNanos) {
    double factor = Math.exp(-(nowNanos - agedAtNanos) / SECOND_NANOS / windowSeconds);
    agedAtNanos = nowNanos;
    repeats *= factor;
    requests *= factor;
  }
}
