package org.catkinlift.daemon.settings;

import org.catkinlift.events.EventCode.Severity;

/**
 * Says which events are logged.
 *
 * @param level the least severity that is logged
 * @param requestEventSampling the share of requests whose events are logged, from 0 to 1; warnings
 *     are always logged
 */
public record LoggingSettings(Severity level, double requestEventSampling) {
  /** The values of a document that states none. */
  public static final LoggingSettings DEFAULTS =
      new LoggingSettings(
          SettingsKeys.LOGGING_LEVEL.defaultValue(), SettingsKeys.LOGGING_SAMPLING.defaultValue());
}
