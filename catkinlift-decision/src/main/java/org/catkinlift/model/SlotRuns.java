package org.catkinlift.model;

import com.google.common.collect.ImmutableList;
import java.util.function.IntFunction;

/**
 * Groups neighbouring slots with equal content, so that a codec names each group once.
 *
 * <p>A service has up to 1,048,576 slots, and neighbours often have the same home or owner.
 */
public final class SlotRuns {
  private SlotRuns() {}

  /**
   * Some slots without a gap between them.
   *
   * @param first the lowest slot index
   * @param count the number of slots
   * @param value what all of them have
   */
  public record Run<T>(int first, int count, T value) {}

  /**
   * Groups slots.
   *
   * @param slots the slot indexes in ascending order
   * @param valueAt gives the content of a slot
   * @param <T> the type of the content
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
