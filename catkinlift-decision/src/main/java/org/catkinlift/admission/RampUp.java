package org.catkinlift.admission;

import java.time.Duration;

/**
 * Raises the rate at which one daemon sends requests to an upstream that has just started or
 * recovered, for as long as the upstream answers well.
 *
 * <p>Load pattern: an upstream appears idle to all daemons at the same moment. Without a limit each
 * of them sends it a few requests before the first answer shows its load, which fills its queue
 * many times over; if all keep away from it, its slots stay idle while others are overloaded. All
 * daemons therefore start from the same rate of the whole site, of which each takes an equal share.
 * The rate doubles at a fixed interval, and is halved when an answer shows a queue, is slow, is
 * refused or is missing. Confined to one thread.
 */
public final class RampUp {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final double MAX_TOKENS = 1;

  /** The part of the upstream's usual rate at which the ramp starts. */
  private static final double INITIAL_RATE_RATIO = 0.5;

  /**
   * The multiple of the usual rate at which the ramp ends; above 1, since upstreams differ in
   * speed.
   */
  private static final double FINAL_RATE_RATIO = 2;

  /** The time in which the rate doubles, in service times, so that answers arrive in between. */
  private static final double DOUBLING_SERVICE_TIMES = 4;

  private static final double DECREASE_FACTOR = 0.5;

  private final double usualPerSecond;
  private final double doublingNanos;
  private final int daemons;
  private double rateRatio = INITIAL_RATE_RATIO;
  private double tokens;
  private long updatedAtNanos;

  /**
   * Creates a ramp that starts now.
   *
   * @param slots the number of requests that the upstream executes concurrently
   * @param serviceNanos the typical service time of the upstreams of its service
   * @param daemons the number of daemons that send to it
   * @param initialTokens a random number from 0 to 1, so that daemons do not all send at once
   * @param nowNanos the current time
   */
  public RampUp(int slots, long serviceNanos, int daemons, double initialTokens, long nowNanos) {
    this.usualPerSecond = slots * SECOND_NANOS / Math.max(1, serviceNanos);
    this.doublingNanos = DOUBLING_SERVICE_TIMES * serviceNanos;
    this.daemons = Math.max(1, daemons);
    this.tokens = initialTokens;
    this.updatedAtNanos = nowNanos;
  }

  /**
   * Returns whether the ramp has ended, so that no limit applies any more.
   *
   * @param nowNanos the current time
   */
  public boolean isComplete(long nowNanos) {
    update(nowNanos);
    return rateRatio >= FINAL_RATE_RATIO;
  }

  /**
   * Takes a token for one request.
   *
   * @param nowNanos the current time
   * @return false if there is no token
   */
  public boolean tryAcquire(long nowNanos) {
    update(nowNanos);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Returns how long to wait for the next token if the rate stays as it is.
   *
   * @param nowNanos the current time
   * @return nanoseconds, 0 if there is one now
   */
  public long nanosUntilNext(long nowNanos) {
    update(nowNanos);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerNano());
  }

  /** Returns the time between two tokens at the present rate, in nanoseconds. */
  public long intervalNanos() {
    return (long) Math.ceil(1 / tokensPerNano());
  }

  /**
   * Lowers the rate, because the upstream did not answer well.
   *
   * @param nowNanos the current time
   */
  public void decrease(long nowNanos) {
    update(nowNanos);
    rateRatio = Math.max(INITIAL_RATE_RATIO, rateRatio * DECREASE_FACTOR);
  }

  private double tokensPerNano() {
    return rateRatio * usualPerSecond / daemons / SECOND_NANOS;
  }

  private void update(long nowNanos) {
    double elapsed = Math.max(0, nowNanos - updatedAtNanos);
    updatedAtNanos = nowNanos;
    tokens = Math.min(MAX_TOKENS, tokens + elapsed * tokensPerNano());
    rateRatio = Math.min(FINAL_RATE_RATIO, rateRatio * Math.pow(2, elapsed / doublingNanos));
  }
}
