package org.catkinlift.ranges.explore;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * Which sequences of steps a search tries.
 *
 * @param start where the sequences begin
 * @param depth the largest number of steps after the start
 * @param faults the largest number of faults among them
 * @param waits the largest number of steps among them that let time pass
 */
record SearchBounds(StartState start, int depth, int faults, int waits) {

  /** Parses the bounds from their values, separated by commas. */
  static SearchBounds parse(String text) {
    List<String> values = Splitter.on(',').splitToList(text);
    return new SearchBounds(
        StartState.valueOf(values.get(0)),
        Integer.parseInt(values.get(1)),
        Integer.parseInt(values.get(2)),
        Integer.parseInt(values.get(3)));
  }
}
