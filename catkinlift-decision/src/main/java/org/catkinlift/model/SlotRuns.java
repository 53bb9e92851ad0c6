package org.catkinlift.model;

import com.google.common.collect.ImmutableList;
import java.util.function.IntFunction;

/**
 * Groups adjacent slots with equal values, so that a codec writes each group once.
 *
 * <p>A service has up to 1,048,576 slots, and adjacent slots often have the same home or owner.
 */
public final class SlotRuns {
  private SlotRuns() {}

  /**
   * Slots with consecutive indexes and the same value.
   *
   * @param first the lowest slot index
   * @param count the number of slots
   * @param value the value of all of them
   */
  public record Run<T>(int first, int count, T value) {}

  /**
   * Groups slots into runs.
   *
   * @param slots the slot indexes in ascending order
   * @param valueAt returns the value of a slot
   * @param <T> the type of the values
   * @return the longest possible runs, in ascending order
   */
  public static <T> ImmutableList<Run<T>> of(Iterable<Integer> slots, IntFunction<T> valueAt) {
    var runs = ImmutableList.<Run<T>>builder();
    int first = 0;
    int count = 0;
    T current = null;
    for (int slot : slots) {
      T next = valueAt.apply(slot);
      if (count > 0 && slot == first + count && next.equals(current)) {
        count++;
        continue;
      }
      if (count > 0) {
        runs.add(new Run<>(first, count, current));
      }
      first = slot;
      count = 1;
      current = next;
    }
    return count == 0 ? runs.build() : runs.add(new Run<>(first, count, current)).build();
  }
}
