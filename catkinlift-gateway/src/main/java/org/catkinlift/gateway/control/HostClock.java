package org.catkinlift.gateway.control;

import org.catkinlift.ranges.ClockReading;

/** Reads both clocks of the host. */
final class HostClock {
  private HostClock() {}

  static ClockReading now() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }
}
