package org.catkinlift.shares;

import java.time.Duration;

/**
 * What is not known about the time before a coordinator took the role.
 *
 * @param held what hosts that have not reported may still hold
 * @param windowPart the part of the last window that lies before that time
 * @param isReported whether any host stated shares of an earlier coordinator
 */
record EarlierShares(Share held, double windowPart, boolean isReported) {
  /** Nothing is unknown any more. */
  static final EarlierShares NONE = new EarlierShares(Share.NONE, 0, false);

  /**
   * The part of a window that was spent before a restart of all hosts. The role is free for 2 s and
   * first reports are awaited, so the rest of the window lies after the restart.
   */
  private static final Duration SPENT_BEFORE_RESTART = Duration.ofSeconds(2);

  /**
   * Returns the units that may have been spent in the part of the window before. An earlier
   * coordinator kept the sum of what was spent and what is held within the allowance. If nobody
   * holds anything, all hosts have restarted.
   */
  double spent(double allowance, double unitsPerSecond, Share reported) {
    double units =
        isReported
            ? allowance * (1 - reported.burst())
            : unitsPerSecond * SPENT_BEFORE_RESTART.toSeconds();
    return windowPart * units;
  }
}
