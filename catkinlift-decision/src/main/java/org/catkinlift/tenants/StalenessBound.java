package org.catkinlift.tenants;

import java.time.Duration;

/** What a daemon does with requests of tenants when its configuration may be out of date. */
public sealed interface StalenessBound {

  /** Requests are served with the last known configuration. */
  record FailOpen() implements StalenessBound {}

  /**
   * Requests of tenants are refused.
   *
   * @param maxAge the age of the last confirmed contact with the store up to which they are served
   */
  record FailClosed(Duration maxAge) implements StalenessBound {}

  /**
   * Returns whether requests of tenants may be served.
   *
   * @param contactAgeNanos the time since the last confirmed contact with the store
   */
  default boolean allows(long contactAgeNanos) {
    return switch (this) {
      case FailOpen open -> true;
      case FailClosed closed -> contactAgeNanos <= closed.maxAge().toNanos();
    };
  }
}
