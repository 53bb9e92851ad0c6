package org.catkinlift.standin.load;

import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.standin.upstream.Task;

/**
 * Draws the requests of a run one after the other.
 *
 * <p>The same settings give the same sequence. Times between requests are exponentially
 * distributed, as those of many independent callers are.
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

  /** The square of a uniform number draws the lowest tenth of the keys three times as often. */
  private int nextKey() {
    double u = random.nextDouble();
    return (int) (u * u * settings.keys());
  }
}
