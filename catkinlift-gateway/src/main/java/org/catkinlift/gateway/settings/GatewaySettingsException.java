package org.catkinlift.gateway.settings;

/** Thrown if the settings are missing, malformed or out of range; the message names the field. */
public final class GatewaySettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param message what is wrong and where
   * @param cause what was thrown below, or null
   */
  public GatewaySettingsException(String message, Throwable cause) {
    super(message, cause);
  }
}
