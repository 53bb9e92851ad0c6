package org.catkinlift.shares;

import java.time.Duration;

/** The units that were spent in the last window, in slots of time. */
final class SpentLog {
  private static final Duration SLOT = Duration.ofMillis(500);

  /** The slots of a window of 5 s and one that has only begun. */
  private static final int SLOTS = 11;

  private static final double SLOT_SECONDS = SLOT.toMillis() / 1e3;

  private final double[] spent = new double[SLOTS];
  private int current;
  private long slotStartNanos;

  SpentLog(long nowNanos) {
    slotStartNanos = nowNanos;
  }

  void add(double units, long nowNanos) {
    advance(nowNanos);
    spent[current] += units;
  }

  /**
   * Returns the most units that a window can contain which holds this moment, if spending goes on
   * at a rate. Reports are up to one slot late.
   */
  double mostInWindow(double unitsPerSecond, long nowNanos) {
    advance(nowNanos);
    double past = 0;
    double most = unitsPerSecond * SLOT_SECONDS * (SLOTS + 1);
    for (int age = 0; age < SLOTS; age++) {
      past += spent[(current - age + SLOTS) % SLOTS];
      most = Math.max(most, past + unitsPerSecond * SLOT_SECONDS * (SLOTS - age));
    }
    return most;
  }

  private void advance(long nowNanos) {
    for (int i = 0; i < SLOTS && nowNanos - slotStartNanos >= SLOT.toNanos(); i++) {
      slotStartNanos += SLOT.toNanos();
      current = (current + 1) % SLOTS;
      spent[current] = 0;
    }
    if (nowNanos - slotStartNanos >= SLOT.toNanos()) {
      slotStartNanos = nowNanos;
    }
  }

  boolean isEmpty(long nowNanos) {
    return mostInWindow(0, nowNanos) == 0;
  }
}
