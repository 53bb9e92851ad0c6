package org.catkinlift.daemon.settings;

import java.time.Duration;

/**
 * Bounds what one daemon holds.
 *
 * @param queueFactor the queue of an upstream, in multiples of its concurrency limit
 * @param maxControlBodyBytes the largest body of a control request, in bytes
 * @param defaultDeadline the deadline of a request whose caller states none
 * @param callerIdleTimeout after which an idle connection of a caller is closed
 * @param upstreamIdleTimeout after which an idle connection to an upstream is closed
 */
public record LimitSettings(
    int queueFactor,
    int maxControlBodyBytes,
    Duration defaultDeadline,
    Duration callerIdleTimeout,
    Duration upstreamIdleTimeout) {
  /** The values of a document that states none. */
  public static final LimitSettings DEFAULTS =
      new LimitSettings(
          SettingsKeys.QUEUE_FACTOR.defaultValue(),
          SettingsKeys.MAX_CONTROL_BODY_BYTES.defaultValue(),
          SettingsKeys.DEFAULT_DEADLINE.defaultValue(),
          SettingsKeys.CALLER_IDLE_TIMEOUT.defaultValue(),
          SettingsKeys.UPSTREAM_IDLE_TIMEOUT.defaultValue());
}
