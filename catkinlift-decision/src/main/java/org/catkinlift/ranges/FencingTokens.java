package org.catkinlift.ranges;

/**
 * The fencing tokens of each era of the store. A token carries its era in the high bits, so that
 * each token of a later era is higher than all tokens of earlier eras, whatever the store has lost.
 */
public final class FencingTokens {
  /** 2^36 tokens of an era last 21 years at 100 moves a second. */
  private static final int ERA_SHIFT = 36;

  /** The highest era whose tokens are below 2^53, so that a JSON number holds them exactly. */
  public static final long MAX_ERA = (1L << (53 - ERA_SHIFT)) - 1;

  private FencingTokens() {}

  /**
   * Returns the lowest token of an era.
   *
   * @param era the era; 0 for a store that states none
   * @throws IllegalArgumentException if the era is negative or above {@link #MAX_ERA}
   */
  public static long firstOf(long era) {
    if (era < 0 || era > MAX_ERA) {
      throw new IllegalArgumentException("no fencing tokens for era " + era);
    }
    return (era << ERA_SHIFT) + 1;
  }
}
