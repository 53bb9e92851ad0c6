package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The assignments of all keys of one service.
 *
 * @param nextFence the lowest fencing token that was never used
 * @param assignments the assignments in key order, without overlap
 */
public record RangeMap(long nextFence, ImmutableList<RangeAssignment> assignments) {
  /** The map before any key is assigned. */
  public static final RangeMap EMPTY = new RangeMap(1, ImmutableList.of());

  /** Returns the assignment of a key, or empty if the key is not assigned. */
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
