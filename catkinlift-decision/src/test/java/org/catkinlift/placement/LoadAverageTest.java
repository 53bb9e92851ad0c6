package org.catkinlift.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class LoadAverageTest {
  private static final int SLOTS = 500;
  private static final int SECONDS = 600;

  /** Guards against a standard error that does not match the actual deviation of the averages. */
  @Test
  void theStandardErrorMatchesTheSpreadOfTheAverages() {
    var random = new Random(1);
    var averages = new LoadAverage();
    for (long second = 0; second < SECONDS; second++) {
      for (int slot = 0; slot < SLOTS; slot++) {
        double load = 10 + 3 * (2 * random.nextDouble() - 1);
        averages.add(slot, load, Duration.ofSeconds(second).toNanos());
      }
    }
    double spread =
        averages.values().values().stream()
            .mapToDouble(v -> (v - 10) * (v - 10))
            .average()
            .orElse(0);
    double stated =
        averages.squaredErrors().values().stream().mapToDouble(v -> v).average().orElse(0);
    assertThat(stated / spread).isWithin(0.2).of(1);
  }

  /** Guards against a standard error for a constant load, which would delay moves for no reason. */
  @Test
  void aSteadyLoadHasNoError() {
    var averages = new LoadAverage();
    for (long second = 0; second < SECONDS; second++) {
      averages.add(1, 5, Duration.ofSeconds(second).toNanos());
    }
    assertThat(averages.squaredErrors().get(1)).isWithin(1e-12).of(0);
  }
}
