package org.catkinlift.limits;

import static com.google.common.math.Quantiles.percentiles;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Ints;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;

/**
 * Keeps the percentiles of the latest answers.
 *
 * <p>The percentiles are computed again after every few answers, because a computation costs more
 * than routing a request. Confined to one thread.
 */
public final class LatencyTracker {
  private static final int WINDOW = 256;
  private static final int MIN_SAMPLES = 32;
  private static final int SAMPLES_PER_UPDATE = 16;
  private static final ImmutableSet<Integer> PERCENTILES = ImmutableSet.of(50, 95, 99);

  private final double[] window = new double[WINDOW];
  private int size;
  private int next;
  private int samplesSinceUpdate;
  private Map<Integer, Double> percentiles = Map.of();

  /** Creates a tracker without answers. */
  public LatencyTracker() {}

  /**
   * Records one answer.
   *
   * @param latency the time it took
   */
  public void record(Duration latency) {
    window[next] = latency.toNanos();
    next = (next + 1) % WINDOW;
    size = Math.min(WINDOW, size + 1);
    samplesSinceUpdate++;
    if (size < MIN_SAMPLES || samplesSinceUpdate < SAMPLES_PER_UPDATE) {
      return;
    }
    samplesSinceUpdate = 0;
    percentiles = percentiles().indexes(Ints.toArray(PERCENTILES)).compute(latest());
  }

  /**
   * Tells whether enough answers were seen for percentiles.
   *
   * @return true if {@link #percentile} has a value
   */
  public boolean hasPercentiles() {
    return !percentiles.isEmpty();
  }

  /**
   * Returns a percentile of the latest answers.
   *
   * @param index 50, 95 or 99
   * @return the latency; zero before enough answers were seen
   */
  public Duration percentile(int index) {
    return Duration.ofNanos(percentiles.getOrDefault(index, 0.0).longValue());
  }

  /** Forgets all answers. */
  public void clear() {
    size = 0;
    next = 0;
    samplesSinceUpdate = 0;
    percentiles = Map.of();
  }

  private double[] latest() {
    return Arrays.copyOf(window, size);
  }
}
