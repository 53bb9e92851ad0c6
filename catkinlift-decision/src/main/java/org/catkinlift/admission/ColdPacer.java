package org.catkinlift.admission;

import java.time.Duration;

/**
 * Spaces the requests of one daemon to a cold upstream.
 *
 * <p>Load pattern: upstreams that come back cold while all daemons have work for them. The rate
 * that the upstream bears is divided by the number of daemons. Confined to one thread.
 */
public final class ColdPacer {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final double LARGEST_BURST = 1;

  private final double perNano;
  private double tokens;
  private long filledAtNanos;

  /**
   * Creates a pacer.
   *
   * @param perSecond the requests/s that the upstream bears from all daemons
   * @param daemons the number of daemons
   * @param firstTokens the tokens at the start, 0 to 1; differs between daemons, so that they do
   *     not all send at once
   * @param nowNanos the time
   */
  public ColdPacer(double perSecond, int daemons, double firstTokens, long nowNanos) {
    this.perNano = perSecond / Math.max(1, daemons) / SECOND_NANOS;
    this.tokens = firstTokens;
    this.filledAtNanos = nowNanos;
  }

  /**
   * Takes the right to send one request.
   *
   * @param nowNanos the time
   * @return false if the upstream would get too many
   */
  public boolean tryTake(long nowNanos) {
    fill(nowNanos);
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
  public long nanosToNext(long nowNanos) {
    fill(nowNanos);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perNano);
  }

  /**
   * Returns the time between two rights.
   *
   * @return nanoseconds
   */
  public long nanosBetween() {
    return (long) Math.ceil(1 / perNano);
  }

  private void fill(long nowNanos) {
    tokens = Math.min(LARGEST_BURST, tokens + (nowNanos - filledAtNanos) * perNano);
    filledAtNanos = nowNanos;
  }
}
