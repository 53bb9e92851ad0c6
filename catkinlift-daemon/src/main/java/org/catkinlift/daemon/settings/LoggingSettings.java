package org.catkinlift.daemon.settings;

import org.catkinlift.events.EventCode.Severity;

/**
 * Specifies which events are logged.
 *
 * @param level the lowest severity that is logged
 * @param requestEventSampling the fraction of requests whose events are logged, from 0 to 1;
 *     warnings are always logged
 */
public record LoggingSettings(Severity level, double requestEventSampling) {
  /** The values that apply if the document specifies none. */
  public static final LoggingSettings DEFAULTS =
      new LoggingSettings(
          SettingsKeys.LOGGING_LEVEL.defaultValue(), SettingsKeys.LOGGING_SAMPLING.defaultValue());
}
