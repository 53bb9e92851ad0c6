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
   * @param content what all of them have
   */
  public record Run<T>(int first, int count, T content) {}

  /**
   * Groups slots.
   *
   * @param slots the slot indexes in ascending order
   * @param content gives the content of a slot
   * @param <T> the type of the content
   * @return the longest possible runs, in ascending order
   */
  public static <T> ImmutableList<Run<T>> of(Iterable<Integer> slots, IntFunction<T> content) {
    var runs = ImmutableList.<Run<T>>builder();
    int first = 0;
    int count = 0;
    T shared = null;
    for (int slot : slots) {
      T next = content.apply(slot);
      if (count > 0 && slot == first + count && next.equals(shared)) {
        count++;
        continue;
      }
      if (count > 0) {
        runs.add(new Run<>(first, count, shared));
      }
      first = slot;
      count = 1;
      shared = next;
    }
    return count == 0 ? runs.build() : runs.add(new Run<>(first, count, shared)).build();
  }
}
