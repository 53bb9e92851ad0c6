package org.catkinlift.gateway.control;

import org.catkinlift.ranges.Moment;

/** Reads both clocks of the host. */
final class HostClock {
  private HostClock() {}

  static Moment now() {
    return new Moment(System.nanoTime(), System.currentTimeMillis());
  }
}
