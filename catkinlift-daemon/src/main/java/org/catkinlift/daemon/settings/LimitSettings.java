package org.catkinlift.daemon.settings;

import java.time.Duration;

/**
 * The resource limits and time-outs of one daemon.
 *
 * @param queueFactor the queue capacity of an upstream as a multiple of its concurrency limit
 * @param maxControlBodyBytes the maximum size of the body of a control request, in bytes
 * @param defaultDeadline the deadline of a request whose caller specifies none
 * @param callerIdleTimeout the time after which an idle connection of a caller is closed
 * @param upstreamIdleTimeout the time after which an idle connection to an upstream is closed
 */
public record LimitSettings(
    int queueFactor,
    int maxControlBodyBytes,
    Duration defaultDeadline,
    Duration callerIdleTimeout,
    Duration upstreamIdleTimeout) {
  /** The values that apply if the document specifies none. */
  public static final LimitSettings DEFAULTS =
      new LimitSettings(
          SettingsKeys.QUEUE_FACTOR.defaultValue(),
          SettingsKeys.MAX_CONTROL_BODY_BYTES.defaultValue(),
          SettingsKeys.DEFAULT_DEADLINE.defaultValue(),
          SettingsKeys.CALLER_IDLE_TIMEOUT.defaultValue(),
          SettingsKeys.UPSTREAM_IDLE_TIMEOUT.defaultValue());
}
