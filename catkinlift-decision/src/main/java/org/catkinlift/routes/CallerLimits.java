package org.catkinlift.routes;

import java.time.Duration;

/**
 * Bounds what a caller may send and how long its connection may be idle.
 *
 * @param maxHeaderBytes the size of the head of a request
 * @param maxBodyBytes the size of the body of a request
 * @param headerTimeout the time from the first byte of a head to its last
 * @param idleTimeout the time without a request after which a connection is closed
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits in force before the first configuration is known. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 64L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
