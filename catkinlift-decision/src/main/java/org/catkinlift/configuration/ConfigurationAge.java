package org.catkinlift.configuration;

import java.time.Duration;
import java.util.Optional;

/** Shows how old this daemon's knowledge of the configuration may be. */
public interface ConfigurationAge {

  /**
   * Returns the time since a read of the platform confirmed the configuration in force here.
   *
   * @param nowNanos the time
   * @return the age; empty if no read has confirmed it since the start of this daemon
   */
  Optional<Duration> age(long nowNanos);
}
