package org.catkinlift.upstreams;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Finds the time of the last confirmed contact with the store, which bounds the age of the
 * configuration. Confined to the control thread.
 *
 * <p>A process that was suspended first reads responses that arrived in the meantime. They prove
 * nothing about the present, so contact is not counted until the control thread has run regularly
 * again.
 */
public final class ConfirmedContact {
  /** The control thread runs at least every 100 ms unless the process is suspended. */
  private static final Duration MAX_RUN_INTERVAL = Duration.ofSeconds(1);

  /** The time in which responses that arrived during a suspension are read. */
  private static final Duration RESUMPTION_TIME = Duration.ofMillis(200);

  private OptionalLong lastRunNanos = OptionalLong.empty();
  private OptionalLong resumedNanos = OptionalLong.empty();
  private OptionalLong contactNanos = OptionalLong.empty();

  /**
   * Records that the control thread runs.
   *
   * @param nowNanos the current time
   */
  public void running(long nowNanos) {
    if (wasSuspended(nowNanos)) {
      resumedNanos = OptionalLong.of(nowNanos);
    }
    lastRunNanos = OptionalLong.of(nowNanos);
  }

  /**
   * Records contact with the store, or with a coordinator that has contact with it.
   *
   * @param age how long ago the store responded
   * @param nowNanos the current time
   * @return the time of the last confirmed contact, or empty if it has not changed
   */
  public OptionalLong established(Duration age, long nowNanos) {
    running(nowNanos);
    long candidate = nowNanos - age.toNanos();
    boolean isResuming =
        resumedNanos.isPresent() && nowNanos - resumedNanos.getAsLong() < RESUMPTION_TIME.toNanos();
    if (isResuming || (contactNanos.isPresent() && candidate - contactNanos.getAsLong() <= 0)) {
      return OptionalLong.empty();
    }
    contactNanos = OptionalLong.of(candidate);
    return contactNanos;
  }

  private boolean wasSuspended(long nowNanos) {
    return lastRunNanos.isPresent()
        && nowNanos - lastRunNanos.getAsLong() > MAX_RUN_INTERVAL.toNanos();
  }
}
