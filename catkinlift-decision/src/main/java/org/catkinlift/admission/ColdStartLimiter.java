package org.catkinlift.admission;

import java.time.Duration;

/**
 * Spaces the requests of one daemon to a cold upstream.
 *
 * <p>Load pattern: upstreams that come back cold while all daemons have work for them. The rate
 * that the upstream bears is divided by the number of daemons. Confined to one thread.
 */
public final class ColdStartLimiter {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final double MAX_BURST = 1;

  private final double tokensPerNano;
  private double tokens;
  private long refilledAtNanos;

  /**
   * Creates a pacer.
   *
   * @param perSecond the requests/s that the upstream bears from all daemons
   * @param daemons the number of daemons
   * @param initialTokens the tokens at the start, 0 to 1; differs between daemons, so that they do
   *     not all send at once
   * @param nowNanos the time
   */
  public ColdStartLimiter(double perSecond, int daemons, double initialTokens, long nowNanos) {
    this.tokensPerNano = perSecond / Math.max(1, daemons) / SECOND_NANOS;
    this.tokens = initialTokens;
    this.refilledAtNanos = nowNanos;
  }

  /**
   * Takes the right to send one request.
   *
   * @param nowNanos the time
   * @return false if the upstream would get too many
   */
  public boolean tryAcquire(long nowNanos) {
    refill(nowNanos);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Returns how long to wait for the next right.
   *
   * @param nowNanos the time
   * @return nanoseconds, 0 if there is one now
   */
  public long nanosUntilNext(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerNano);
  }

  /**
   * Returns the time between two rights.
   *
   * @return nanoseconds
   */
  public long intervalNanos() {
    return (long) Math.ceil(1 / tokensPerNano);
  }

  private void refill(long nowNanos) {
    tokens = Math.min(MAX_BURST, tokens + (nowNanos - refilledAtNanos) * tokensPerNano);
    refilledAtNanos = nowNanos;
  }
}
