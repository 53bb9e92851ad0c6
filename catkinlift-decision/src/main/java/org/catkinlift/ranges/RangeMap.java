package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
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

  /**
   * Returns the map before any key is assigned in an era of the store.
   *
   * @param era the era
   */
  public static RangeMap emptyOf(long era) {
    return new RangeMap(FencingTokens.firstOf(era), ImmutableList.of());
  }

  /** Returns this map with the next fencing token in a later era. */
  RangeMap continuedIn(long era) {
    return new RangeMap(Math.max(nextFence, FencingTokens.firstOf(era)), assignments);
  }

  /**
   * Returns this map with a new fencing token of a later era for each assignment, and without
   * previous holders, whose grants must have expired.
   */
  RangeMap reassignedIn(long era) {
    long fence = FencingTokens.firstOf(era);
    ImmutableList.Builder<RangeAssignment> next = ImmutableList.builder();
    for (RangeAssignment a : assignments) {
      next.add(new RangeAssignment(a.range(), a.holder(), fence++, ImmutableList.of()));
    }
    return new RangeMap(fence, next.build());
  }

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

  /**
   * Returns the assignments of this map whose fencing token another map does not contain.
   *
   * @param earlier the other map
   */
  public ImmutableList<Reassignment> reassignmentsSince(RangeMap earlier) {
    ImmutableSet<Long> earlierFences =
        earlier.assignments().stream()
            .map(RangeAssignment::fence)
            .collect(ImmutableSet.toImmutableSet());
    return assignments.stream()
        .filter(a -> !earlierFences.contains(a.fence()))
        .map(a -> new Reassignment(a, earlier.holdersOf(a.range())))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<Holder> holdersOf(KeyRange range) {
    return assignments.subList(firstIndexNotBefore(range), assignments.size()).stream()
        .takeWhile(a -> a.range().overlaps(range))
        .map(RangeAssignment::holder)
        .distinct()
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the index of the first assignment that does not end before a range begins. */
  private int firstIndexNotBefore(KeyRange range) {
    int low = 0;
    int high = assignments.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (assignments.get(middle).range().last() < range.first()) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /**
   * A change of an assignment.
   *
   * @param assignment the new assignment
   * @param replacedHolders the holders of the keys before the change
   */
  public record Reassignment(RangeAssignment assignment, ImmutableList<Holder> replacedHolders) {}
}
