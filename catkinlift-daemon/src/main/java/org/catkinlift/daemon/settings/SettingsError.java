package org.catkinlift.daemon.settings;

import org.catkinlift.daemon.json.JsonError;

/**
 * Names one error of a settings document.
 *
 * @param path where it is, for example {@code limits.queueFactor}
 * @param value the value found, as JSON; never the value of the token or of an unknown key
 * @param allowed what is allowed there
 */
public record SettingsError(String path, String value, String allowed) {

  /**
   * Returns the settings error for an error of the document.
   *
   * @param error the error
   * @return the settings error
   */
  static SettingsError of(JsonError error) {
    return new SettingsError(error.path(), error.value(), error.allowed());
  }

  @Override
  public String toString() {
    return path + ": " + value + " is not allowed; allowed: " + allowed;
  }
}
