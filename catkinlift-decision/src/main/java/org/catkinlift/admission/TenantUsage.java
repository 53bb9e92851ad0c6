package org.catkinlift.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.TenantName;

/**
 * Finds the requests that a tenant sends above its usual rate at this daemon. Confined to one
 * thread.
 *
 * <p>Load pattern: a tenant sends 3 to 8 times its usual load for 5 to 8 s. Requests up to its
 * usual rate compete equally with those of other tenants; only the surplus follows them. The usual
 * rate is that of this daemon, because the callers of a tenant are spread unevenly over daemons.
 *
 * <p>State is kept for tenants with a request in the last {@link #MAX_IDLE}.
 */
public final class TenantUsage {
  /** The time constant of the average rate; long enough that a burst hardly raises it. */
  private static final Duration AVERAGING_TIME = Duration.ofSeconds(60);

  /** The rate that still counts as usual, relative to the average. */
  private static final double USUAL_RATE_RATIO = 1.5;

  /** The time over which variations of the rate are smoothed. */
  private static final Duration SMOOTHING_TIME = Duration.ofSeconds(2);

  /** The requests that a tenant may send at once; most tenants send less than one a second. */
  private static final double MIN_BURST = 4;

  /**
   * The least share of the requests of a tenant that never counts as surplus. No tenant may be
   * served less than a quarter as often as all tenants together.
   */
  private static final double MIN_USUAL_SHARE = 0.3;

  private static final Duration MAX_IDLE = Duration.ofMinutes(10);

  /** The time after the start of the daemon in which all requests count as usual. */
  private static final Duration LEARNING_TIME = Duration.ofSeconds(10);

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final long startNanos;
  private final Map<TenantName, Meter> meters = new HashMap<>();
  private long nextPurgeNanos;

  /** The requests of one tenant. */
  private static final class Meter {
    private double usualRequests;
    private double tokens = MIN_BURST;
    private double guaranteed;
    private long lastNanos;

    Meter(long nowNanos) {
      lastNanos = nowNanos;
    }
  }

  /**
   * Creates the meters.
   *
   * @param nowNanos the current time
   */
  public TenantUsage(long nowNanos) {
    startNanos = nowNanos;
    nextPurgeNanos = nowNanos + MAX_IDLE.toNanos();
  }

  /**
   * Counts a request.
   *
   * @param tenant the tenant of the request
   * @param nowNanos the current time
   * @return whether the request is above the usual rate of the tenant
   */
  public boolean isAboveUsualRate(TenantName tenant, long nowNanos) {
    purgeIdle(nowNanos);
    Meter meter = meters.computeIfAbsent(tenant, name -> new Meter(nowNanos));
    double elapsedSeconds = Math.max(0, nowNanos - meter.lastNanos) / NANOS_PER_SECOND;
    meter.lastNanos = nowNanos;
    meter.usualRequests *= Math.exp(-elapsedSeconds / AVERAGING_TIME.toSeconds());
    double rate = USUAL_RATE_RATIO * meter.usualRequests / observedSeconds(nowNanos);
    double burst = Math.max(MIN_BURST, rate * SMOOTHING_TIME.toSeconds());
    meter.tokens = Math.min(burst, meter.tokens + rate * elapsedSeconds);
    meter.guaranteed += MIN_USUAL_SHARE;
    boolean isLearning = nowNanos - startNanos < LEARNING_TIME.toNanos();
    boolean isAbove = !isLearning && meter.tokens < 1 && meter.guaranteed < 1;
    if (!isAbove) {
      meter.tokens = Math.max(0, meter.tokens - 1);
      meter.guaranteed = Math.max(0, meter.guaranteed - 1);
      meter.usualRequests++;
    }
    return isAbove;
  }

  /**
   * Returns the time to which the decayed count of requests refers: the averaging time, or less
   * while this daemon has not run for so long.
   */
  private double observedSeconds(long nowNanos) {
    double runSeconds = Math.max(1, nowNanos - startNanos) / NANOS_PER_SECOND;
    double averagingSeconds = AVERAGING_TIME.toSeconds();
    return averagingSeconds * (1 - Math.exp(-runSeconds / averagingSeconds));
  }

  private void purgeIdle(long nowNanos) {
    if (nowNanos < nextPurgeNanos) {
      return;
    }
    nextPurgeNanos = nowNanos + MAX_IDLE.toNanos();
    meters.values().removeIf(meter -> nowNanos - meter.lastNanos > MAX_IDLE.toNanos());
  }
}
