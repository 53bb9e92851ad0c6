package org.catkinlift.gateway.control;

import org.catkinlift.ranges.ClockReading;

/** Reads the monotonic and the wall clock of the host. */
final class HostClock {
  private HostClock() {}

  static ClockReading now() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }
}
