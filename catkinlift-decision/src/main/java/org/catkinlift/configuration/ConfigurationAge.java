package org.catkinlift.configuration;

import java.time.Duration;
import java.util.Optional;

/** Provides the age of this daemon's knowledge of the configuration. */
public interface ConfigurationAge {

  /**
   * Returns the time since a platform read last confirmed the configuration in force.
   *
   * @param nowNanos the time
   * @return the age; empty if no read has confirmed it since the start of this daemon
   */
  Optional<Duration> age(long nowNanos);
}
