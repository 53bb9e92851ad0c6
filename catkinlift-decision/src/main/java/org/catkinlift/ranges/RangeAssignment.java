package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;

/**
 * The holder of a range of keys.
 *
 * @param range the keys
 * @param holder who holds them or is about to
 * @param fence the fencing token of its grants; above those of all earlier holders
 * @param previousHolders earlier holders that may still hold some of the keys; while there are any,
 *     the holder gets no grant
 */
public record RangeAssignment(
    KeyRange range, Holder holder, long fence, ImmutableList<Holder> previousHolders) {

  /**
   * Tells whether the keys are on their way to the holder.
   *
   * @return true until all earlier holders have released them or have lost them
   */
  public boolean isMoving() {
    return !previousHolders.isEmpty();
  }

  /**
   * Returns the same assignment for part of the keys.
   *
   * @param part the keys
   * @return the assignment
   */
  RangeAssignment withRange(KeyRange part) {
    return new RangeAssignment(part, holder, fence, previousHolders);
  }

  /**
   * Returns the assignment after the earlier holders have let go.
   *
   * @return the assignment without earlier holders
   */
  RangeAssignment withoutPreviousHolders() {
    return new RangeAssignment(range, holder, fence, ImmutableList.of());
  }
}
