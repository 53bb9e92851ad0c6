package org.catkinlift.retries;

import java.time.Duration;

/**
 * Limits the retries of one service on one daemon to a share of its recent successes.
 *
 * <p>Without it, callers and routers that retry at the same time multiply the load of an upstream
 * that is already overloaded and keep it overloaded. Confined to one thread.
 */
public final class RetryBudget {
  private static final double TOKENS_PER_SUCCESS = 0.1;
  private static final double TOKENS_PER_SECOND = 1.0;

  /** Limits the burst after a long healthy period to the retries of 1,000 successes. */
  private static final double MAX_TOKENS = 100;

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private double tokens = TOKENS_PER_SECOND;
  private long refilledAtNanos;

  /**
   * Creates a budget that holds the tokens of one second.
   *
   * @param nowNanos the time
   */
  public RetryBudget(long nowNanos) {
    this.refilledAtNanos = nowNanos;
  }

  /**
   * Adds the tokens that an answered request earns.
   *
   * @param nowNanos the time
   */
  public void succeeded(long nowNanos) {
    refill(nowNanos);
    add(TOKENS_PER_SUCCESS);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nowNanos the time
   * @return false if the budget is exhausted; nothing is taken then
   */
  public boolean tryTake(long nowNanos) {
    refill(nowNanos);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private void refill(long nowNanos) {
    add((nowNanos - refilledAtNanos) / NANOS_PER_SECOND * TOKENS_PER_SECOND);
    refilledAtNanos = nowNanos;
  }

  private void add(double amount) {
    tokens = Math.min(MAX_TOKENS, tokens + amount);
  }
}
