package org.catkinlift.daemon.settings;

import org.catkinlift.daemon.json.JsonError;

/**
 * A validation error in a settings document.
 *
 * @param path the path of the value, such as {@code limits.queueFactor}
 * @param value the invalid value as JSON; never the value of the token or of an unknown key
 * @param allowed a description of the valid values
 */
public record SettingsError(String path, String value, String allowed) {

  /**
   * Converts an error of the JSON document.
   *
   * @param error the JSON error
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
