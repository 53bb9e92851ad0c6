package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against load that is judged too low soon after a start, and too high long after a burst.
 */
final class KeyLoadTest {
  private static final Duration MEAN_AGE = Duration.ofSeconds(3);

  private static long seconds(double value) {
    return (long) (value * 1e9);
  }

  /** Returns the load that 4 busy slots on one key show after some time. */
  private static double shownAfter(double length) {
    var load = new KeyLoad(MEAN_AGE, 0);
    for (double t = 0; t < length; t += 0.1) {
      load.add(77, 0.4);
      load.decay(seconds(t + 0.1));
    }
    return load.of(new KeyRange(77, 77));
  }

  @Test
  void steadyWorkShowsItsRateFromTheStart() {
    assertThat(shownAfter(1)).isWithin(0.4).of(4);
    assertThat(shownAfter(20)).isWithin(0.4).of(4);
  }

  @Test
  void oldWorkIsForgotten() {
    var load = new KeyLoad(MEAN_AGE, 0);
    load.add(77, 12);
    load.decay(seconds(15));

    assertThat(load.of(new KeyRange(77, 77))).isLessThan(0.1);
  }

  @Test
  void keysWithoutWorkCountByNumber() {
    var load = new KeyLoad(MEAN_AGE, 0);

    assertThat(load.of(new KeyRange(0, 32_767))).isWithin(1e-9).of(0.5);
  }
}
