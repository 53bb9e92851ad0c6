package org.catkinlift.routes;

import java.time.Duration;

/**
 * Limits on the size of a caller's requests and on the idle time of its connection.
 *
 * @param maxHeaderBytes the maximum size of the headers of a request
 * @param maxBodyBytes the maximum size of the body of a request
 * @param headerTimeout the maximum time from the first to the last byte of the headers
 * @param idleTimeout the time without a request after which a connection is closed
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** The limits that apply until the first configuration is received. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 64L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
