package org.catkinlift.limits;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Finds the hottest keys in bounded space with the space-saving algorithm.
 *
 * <p>A new key replaces the counted key with the smallest sum and inherits that sum as its error,
 * so a sum minus its error never exceeds the true one. Confined to one thread.
 */
final class HotKeyCounter {
  /** Twice the 300 keys that a site may place apart, so that the coldest of them are exact. */
  private static final int CAPACITY = 600;

  /** Bounds the load report of an upstream. */
  private static final int REPORTED = 20;

  private static final Comparator<Counter> BY_SUM =
      Comparator.<Counter>comparingDouble(c -> c.sum).thenComparing(c -> c.key);

  private final Map<String, Counter> counters = new HashMap<>();
  private final TreeSet<Counter> ordered = new TreeSet<>(BY_SUM);

  void add(String key, double weight) {
    Counter known = counters.get(key);
    if (known != null) {
      ordered.remove(known);
      known.sum += weight;
      ordered.add(known);
      return;
    }
    double error = counters.size() < CAPACITY ? 0 : evictSmallest();
    var counter = new Counter(key, error + weight, error);
    counters.put(key, counter);
    ordered.add(counter);
  }

  /** Returns the largest certain sums by key, the largest first. */
  ImmutableMap<String, Double> hottest() {
    return counters.values().stream()
        .filter(c -> c.certainSum() > 0)
        .sorted(Comparator.comparingDouble(Counter::certainSum).reversed().thenComparing(BY_SUM))
        .limit(REPORTED)
        .collect(toImmutableMap(c -> c.key, Counter::certainSum));
  }

  /** Multiplies all sums. Very small ones may become equal, so the order is built again. */
  void scale(double factor) {
    ordered.clear();
    counters.values().forEach(c -> c.scale(factor));
    ordered.addAll(counters.values());
  }

  private double evictSmallest() {
    Counter smallest = ordered.first();
    ordered.remove(smallest);
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

    private double certainSum() {
      return sum - error;
    }

    private void scale(double factor) {
      sum *= factor;
      error *= factor;
    }
  }
}
