package org.catkinlift.limits;

import static com.google.common.math.Quantiles.percentiles;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Ints;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;

/**
 * Tracks the latency percentiles of the most recent responses.
 *
 * <p>The percentiles are recomputed only once per {@value #SAMPLES_PER_UPDATE} responses, because a
 * computation costs more than routing a request. Confined to one thread.
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

  /** Creates a tracker without samples. */
  public LatencyTracker() {}

  /**
   * Records the latency of a response.
   *
   * @param latency the latency
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
   * Returns whether enough samples were recorded to compute percentiles.
   *
   * @return true if {@link #percentile} has a value
   */
  public boolean hasPercentiles() {
    return !percentiles.isEmpty();
  }

  /**
   * Returns a latency percentile of the most recent responses.
   *
   * @param index 50, 95 or 99
   * @return the latency; zero until enough samples were recorded
   */
  public Duration percentile(int index) {
    return Duration.ofNanos(percentiles.getOrDefault(index, 0.0).longValue());
  }

  /** Discards all samples. */
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
