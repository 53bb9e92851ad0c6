package org.catkinlift.standin.load;

import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.standin.upstream.Task;

/**
 * Generates the sequence of requests of a run.
 *
 * <p>The sequence is determined by the settings. Inter-arrival times are exponentially distributed
 * (a Poisson process), as for a large number of independent callers.
 */
final class RequestPlan {

  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadSettings settings;
  private final SplittableRandom random;
  private long number;
  private double atNanos;

  RequestPlan(LoadSettings settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
  }

  PlannedRequest next() {
    atNanos += -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / settings.ratePerSecond();
    long n = number++;
    return new PlannedRequest(
        n, settings.name() + "-" + n, nextTask(), Duration.ofNanos((long) atNanos));
  }

  private Task nextTask() {
    double kind = random.nextDouble();
    int key = nextKey();
    if (kind < settings.downloadShare()) {
      return new Task.Download("page-" + key, settings.downloadBytes());
    }
    if (kind < settings.downloadShare() + settings.orderShare()) {
      return new Task.Order("key-" + key);
    }
    return new Task.Lookup("key-" + key);
  }

  /**
   * Squares a uniform number, so that the lowest tenth of the keys is drawn three times as often.
   */
  private int nextKey() {
    double u = random.nextDouble();
    return (int) (u * u * settings.keys());
  }
}
