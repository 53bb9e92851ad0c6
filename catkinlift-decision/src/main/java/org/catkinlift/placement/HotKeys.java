package org.catkinlift.placement;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Counts the heaviest keys in bounded memory with the Space-Saving algorithm.
 *
 * <p>A new key replaces the lightest counted key and inherits its count, so a count is never too
 * low and is too high by at most the lightest count. Confined to one thread.
 */
public final class HotKeys {
  /** The number of counted keys. */
  public static final int CAPACITY = 600;

  /** The share of an upstream's fair share of the load above which a key gets an override. */
  public static final double OVERRIDE_SHARE = 0.2;

  /**
   * The share of an upstream's fair share of the load at or below which an override ends; half of
   * {@link #OVERRIDE_SHARE}, so that noise does not create and end an override in turn.
   */
  public static final double COOL_SHARE = 0.1;

  /** The maximum number of overrides of one site. */
  public static final int MAX_OVERRIDES = 300;

  private static final Comparator<Count> LIGHTEST_FIRST =
      Comparator.comparingDouble(Count::weight).thenComparing(Count::key);

  private final Map<String, Count> counts = new HashMap<>();
  private final TreeSet<Count> byWeight = new TreeSet<>(LIGHTEST_FIRST);

  private record Count(String key, double weight, double error) {}

  /** Creates an empty counter. */
  public HotKeys() {}

  /**
   * Adds load for a key.
   *
   * @param key the key
   * @param weight the load, positive
   */
  public void add(String key, double weight) {
    Count before = counts.get(key);
    if (before != null) {
      replace(before, new Count(key, before.weight + weight, before.error));
      return;
    }
    if (counts.size() < CAPACITY) {
      replace(null, new Count(key, weight, 0));
      return;
    }
    Count lightest = byWeight.first();
    counts.remove(lightest.key);
    replace(lightest, new Count(key, lightest.weight + weight, lightest.weight));
  }

  private void replace(Count before, Count after) {
    if (before != null) {
      byWeight.remove(before);
    }
    counts.put(after.key, after);
    byWeight.add(after);
  }

  /**
   * Returns a lower bound of the load of each counted key, and resets the counter.
   *
   * @return the lower bound by key, for keys where it is positive
   */
  public ImmutableMap<String, Double> drain() {
    ImmutableMap<String, Double> result =
        byWeight.descendingSet().stream()
            .filter(c -> c.weight > c.error)
            .collect(toImmutableMap(Count::key, c -> c.weight - c.error));
    counts.clear();
    byWeight.clear();
    return result;
  }

  /**
   * Returns whether a key is heavy enough for an override.
   *
   * @param load the key's load, as work per second
   * @param fairShare the load of the service divided by the number of its upstreams
   */
  public static boolean isHot(double load, double fairShare) {
    return load > OVERRIDE_SHARE * fairShare;
  }

  /**
   * Returns whether a key with an override is light enough to return to its slot.
   *
   * @param load the key's load, as work per second
   * @param fairShare the load of the service divided by the number of its upstreams
   */
  public static boolean isCool(double load, double fairShare) {
    return load <= COOL_SHARE * fairShare;
  }
}
