package org.catkinlift.limits;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Finds the keys with the highest load in bounded memory, by the Space-Saving algorithm.
 *
 * <p>A new key replaces the counted key with the smallest sum and inherits that sum as its error,
 * so a sum minus its error never exceeds the true sum. Confined to one thread.
 */
final class HotKeyCounter {
  /**
   * Twice the 300 keys that a site may assign separately from their slots, so that the sums of the
   * least loaded of them are exact.
   */
  private static final int CAPACITY = 600;

  /** Bounds the size of an upstream's load report. */
  private static final int MAX_REPORTED_KEYS = 20;

  private static final Comparator<Counter> BY_SUM =
      Comparator.<Counter>comparingDouble(c -> c.sum).thenComparing(c -> c.key);

  private final Map<String, Counter> counters = new HashMap<>();
  private final TreeSet<Counter> countersBySum = new TreeSet<>(BY_SUM);

  void add(String key, double weight) {
    Counter existing = counters.get(key);
    if (existing != null) {
      countersBySum.remove(existing);
      existing.sum += weight;
      countersBySum.add(existing);
      return;
    }
    double error = counters.size() < CAPACITY ? 0 : evictSmallest();
    var counter = new Counter(key, error + weight, error);
    counters.put(key, counter);
    countersBySum.add(counter);
  }

  /** Returns the largest guaranteed sums by key, in descending order. */
  ImmutableMap<String, Double> hottest() {
    return counters.values().stream()
        .filter(c -> c.guaranteedSum() > 0)
        .sorted(Comparator.comparingDouble(Counter::guaranteedSum).reversed().thenComparing(BY_SUM))
        .limit(MAX_REPORTED_KEYS)
        .collect(toImmutableMap(c -> c.key, Counter::guaranteedSum));
  }

  /**
   * Multiplies all sums by a factor. Very small sums may become equal, so the sorted set is
   * rebuilt.
   */
  void scale(double factor) {
    countersBySum.clear();
    counters.values().forEach(c -> c.scale(factor));
    countersBySum.addAll(counters.values());
  }

  private double evictSmallest() {
    Counter smallest = countersBySum.first();
    countersBySum.remove(smallest);
    counters.remove(smallest.key);
    return smallest.sum;
  }

  private static final class Counter {
    private final String key;
    private double sum;
    private double error;

    private Counter(String key, double sum, double error) {
      this.key = key;
      this.sum = sum;
      this.error = error;
    }

    private double guaranteedSum() {
      return sum - error;
    }

    private void scale(double factor) {
      sum *= factor;
      error *= factor;
    }
  }
}
