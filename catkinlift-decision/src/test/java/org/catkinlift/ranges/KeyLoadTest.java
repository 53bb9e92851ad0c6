package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a measured load that is too low soon after the start or too high long after a
 * burst.
 */
final class KeyLoadTest {
  private static final Duration TIME_CONSTANT = Duration.ofSeconds(3);

  private static long seconds(double value) {
    return (long) (value * 1e9);
  }

  /** Returns the measured load of a key that keeps 4 slots busy, after some time. */
  private static double measuredAfter(double seconds) {
    var load = new KeyLoad(TIME_CONSTANT, 0);
    for (double t = 0; t < seconds; t += 0.1) {
      load.add(77, 0.4);
      load.decay(seconds(t + 0.1));
    }
    return load.of(new KeyRange(77, 77));
  }

  @Test
  void steadyLoadIsMeasuredSoonAfterTheStart() {
    assertThat(measuredAfter(1)).isWithin(0.4).of(4);
    assertThat(measuredAfter(20)).isWithin(0.4).of(4);
  }

  @Test
  void oldLoadDecays() {
    var load = new KeyLoad(TIME_CONSTANT, 0);
    load.add(77, 12);
    load.decay(seconds(15));

    assertThat(load.of(new KeyRange(77, 77))).isLessThan(0.1);
  }

  @Test
  void withoutLoadAllKeysWeighTheSame() {
    var load = new KeyLoad(TIME_CONSTANT, 0);

    assertThat(load.of(new KeyRange(0, 32_767))).isWithin(1e-9).of(0.5);
  }
}
