package org.catkinlift.control;

/** Numbers the calls of one daemon to the platform and to upstreams. Control thread only. */
public final class CallNumbers {
  private long next = 1;

  /**
   * Returns a number that no earlier call of this daemon has.
   *
   * @return the number, at least 1
   */
  public long next() {
    return next++;
  }
}
