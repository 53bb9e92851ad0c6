package org.catkinlift.gateway.settings;

/** Thrown if settings are missing, malformed or out of range; the message names the field. */
public final class GatewaySettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param message describes the error and names the field
   * @param cause the underlying exception, or null
   */
  public GatewaySettingsException(String message, Throwable cause) {
    super(message, cause);
  }
}
