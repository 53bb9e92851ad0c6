package org.catkinlift.admission;

import java.time.Duration;

/**
 * Limits the rate at which one daemon sends requests to a cold upstream, with a token bucket.
 *
 * <p>Load pattern: upstreams that come back cold while all daemons have requests for them. The rate
 * that the upstream can sustain is divided by the number of daemons. Confined to one thread.
 */
public final class ColdStartLimiter {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final double MAX_BURST = 1;

  private final double tokensPerNano;
  private double tokens;
  private long refilledAtNanos;

  /**
   * Creates a limiter.
   *
   * @param perSecond the requests/s that the upstream can sustain from all daemons together
   * @param daemons the number of daemons
   * @param initialTokens the tokens at the start, 0 to 1; differs between daemons, so that they do
   *     not all send at once
   * @param nowNanos the current time
   */
  public ColdStartLimiter(double perSecond, int daemons, double initialTokens, long nowNanos) {
    this.tokensPerNano = perSecond / Math.max(1, daemons) / SECOND_NANOS;
    this.tokens = initialTokens;
    this.refilledAtNanos = nowNanos;
  }

  /**
   * Takes a token for one request.
   *
   * @param nowNanos the current time
   * @return false if there is no token
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
   * Returns how long to wait for the next token.
   *
   * @param nowNanos the current time
   * @return nanoseconds, 0 if there is one now
   */
  public long nanosUntilNext(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerNano);
  }

  /** Returns the time between two tokens, in nanoseconds. */
  public long intervalNanos() {
    return (long) Math.ceil(1 / tokensPerNano);
  }

  private void refill(long nowNanos) {
    tokens = Math.min(MAX_BURST, tokens + (nowNanos - refilledAtNanos) * tokensPerNano);
    refilledAtNanos = nowNanos;
  }
}
