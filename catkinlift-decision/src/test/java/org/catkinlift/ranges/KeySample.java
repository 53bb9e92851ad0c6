package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

/** The keys whose ownership is tracked: some from the whole key space, and a block of hot keys. */
final class KeySample {
  private static final int STEP = 1_024;

  /** Adjacent keys that may be far busier than others, so that the planner divides them. */
  static final KeyRange HOT_KEYS = new KeyRange(20_480, 20_495);

  /** All tracked keys, in ascending order. */
  static final ImmutableList<Integer> KEYS =
      IntStream.concat(
              IntStream.range(0, KeyRange.KEY_COUNT).filter(key -> key % STEP == 0),
              IntStream.rangeClosed(HOT_KEYS.first(), HOT_KEYS.last()))
          .distinct()
          .sorted()
          .boxed()
          .collect(ImmutableList.toImmutableList());

  private KeySample() {}

  /** Returns the tracked keys of a range. */
  static ImmutableList<Integer> in(KeyRange range) {
    return KEYS.stream().filter(range::contains).collect(ImmutableList.toImmutableList());
  }
}
