package org.catkinlift.admission;

import java.time.Duration;

/**
 * Decides after which time an upstream that does not react counts as unreachable.
 *
 * <p>Load pattern: an availability zone is cut off, and every request that is sent there waits. The
 * times follow from the route's target and the usual service time, so that a request with a short
 * deadline can still be answered elsewhere.
 */
public final class SilencePolicy {
  /** The share of the target that a request waits for a new connection. */
  private static final double CONNECT_TARGET_SHARE = 0.35;

  private static final Duration MIN_CONNECT_TIMEOUT = Duration.ofMillis(60);
  private static final Duration MAX_CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Number of usual service times without any response. */
  private static final int SERVICE_TIMES = 5;

  private static final Duration MIN_SILENCE = Duration.ofMillis(250);
  private static final Duration MAX_SILENCE = Duration.ofMillis(1_200);

  private SilencePolicy() {}

  /**
   * Returns the maximum time until a connection for a request is established.
   *
   * @param target the time within which the response has its full value
   */
  public static Duration connectTimeout(Duration target) {
    long nanos = (long) (target.toNanos() * CONNECT_TARGET_SHARE);
    return Duration.ofNanos(clamp(nanos, MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT));
  }

  /**
   * Returns the time without a response after which an upstream with requests in flight counts as
   * silent.
   *
   * @param serviceNanos the expected service time at the upstream
   * @return nanoseconds
   */
  public static long silenceNanos(long serviceNanos) {
    return clamp(serviceNanos * SERVICE_TIMES, MIN_SILENCE, MAX_SILENCE);
  }

  private static long clamp(long nanos, Duration min, Duration max) {
    return Math.max(min.toNanos(), Math.min(max.toNanos(), nanos));
  }
}
