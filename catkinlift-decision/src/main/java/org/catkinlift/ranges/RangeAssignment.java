package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;

/**
 * The assignment of a range of keys to a holder.
 *
 * @param range the assigned keys
 * @param holder the current holder, or the next one while the keys are moving
 * @param fence the fencing token of the holder's grants; higher than those of all previous holders
 * @param previousHolders earlier holders; the holder gets its first grant when none of them may
 *     still hold some of the keys
 */
public record RangeAssignment(
    KeyRange range, Holder holder, long fence, ImmutableList<Holder> previousHolders) {

  /**
   * Returns whether the keys are still moving to the holder, which is the case until all previous
   * holders have released them or their grants have expired.
   */
  public boolean isMoving() {
    return !previousHolders.isEmpty();
  }

  /** Returns this assignment restricted to {@code part}. */
  RangeAssignment withRange(KeyRange part) {
    return new RangeAssignment(part, holder, fence, previousHolders);
  }

  /** Returns this assignment after all previous holders have released the keys. */
  RangeAssignment withoutPreviousHolders() {
    return new RangeAssignment(range, holder, fence, ImmutableList.of());
  }
}
