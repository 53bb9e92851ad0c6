package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The holders of all keys of one service.
 *
 * @param nextFence the lowest fencing token that was never used
 * @param assignments the assignments in the order of their keys, without overlap
 */
public record RangeMap(long nextFence, ImmutableList<RangeAssignment> assignments) {
  /** The map before any key was assigned. */
  public static final RangeMap EMPTY = new RangeMap(1, ImmutableList.of());

  /**
   * Finds the assignment of a key.
   *
   * @param key the key
   * @return the assignment, or empty if no upstream holds the key
   */
  public Optional<RangeAssignment> find(int key) {
    int low = 0;
    int high = assignments.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      RangeAssignment candidate = assignments.get(middle);
      if (candidate.range().contains(key)) {
        return Optional.of(candidate);
      }
      if (candidate.range().first() > key) {
        high = middle - 1;
      } else {
        low = middle + 1;
      }
    }
    return Optional.empty();
  }
}
