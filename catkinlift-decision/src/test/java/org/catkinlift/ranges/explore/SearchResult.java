package org.catkinlift.ranges.explore;

import java.time.Duration;
import java.util.Optional;

/**
 * What a search found.
 *
 * @param bounds its bounds
 * @param sequences how many sequences were tried
 * @param states how many distinct states were reached
 * @param time how long the search took
 * @param violation the timeline of a shortest sequence with a violation, or empty without any
 */
record SearchResult(
    SearchBounds bounds, long sequences, int states, Duration time, Optional<String> violation) {

  @Override
  public String toString() {
    return "%s: %d sequences, %d states, %.1f s%s"
        .formatted(
            bounds,
            sequences,
            states,
            time.toMillis() / 1e3,
            violation.map(v -> "\n" + v).orElse(""));
  }
}
