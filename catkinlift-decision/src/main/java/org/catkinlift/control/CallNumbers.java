package org.catkinlift.control;

/**
 * Numbers the calls of one daemon to the platform and to upstreams. Confined to the control thread.
 */
public final class CallNumbers {
  private long next = 1;

  /**
   * Returns the number of the next call.
   *
   * @return the number, at least 1 and unique within this daemon
   */
  public long next() {
    return next++;
  }
}
