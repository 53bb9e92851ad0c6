package org.catkinlift.placement;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Counts the heaviest keys in bounded memory with a space-saving counter.
 *
 * <p>A key that is not counted yet replaces the lightest one and inherits its count, so a count is
 * never too low and too high by at most the lightest count. Confined to one thread.
 */
public final class HotKeys {
  /** The number of counted keys. */
  public static final int CAPACITY = 600;

  /** The share of an upstream's fair share above which a key is placed apart. */
  public static final double OVERRIDE_SHARE = 0.2;

  /**
   * The share of an upstream's fair share under which a key that is placed apart is cool; half of
   * {@link #OVERRIDE_SHARE}, so that noise does not place a key apart and back in turn.
   */
  public static final double COOL_SHARE = 0.1;

  /** The most keys of one site that are placed apart. */
  public static final int MAX_OVERRIDES = 300;

  private static final Comparator<Count> LIGHTEST_FIRST =
      Comparator.comparingDouble(Count::weight).thenComparing(Count::key);

  private final Map<String, Count> counts = new HashMap<>();
  private final TreeSet<Count> byWeight = new TreeSet<>(LIGHTEST_FIRST);

  private record Count(String key, double weight, double error) {}

  /** Creates a counter without keys. */
  public HotKeys() {}

  /**
   * Counts work for a key.
   *
   * @param key the key
   * @param weight the work, positive
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
   * Returns the work that was surely done for each counted key, and starts anew.
   *
   * @return the least work by key, for keys with any
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
   * Tells whether a key is heavy enough to be placed apart.
   *
   * @param load the key's work per second
   * @param fairShare the work per second of a service divided by its upstreams
   * @return true if it is
   */
  public static boolean isHot(double load, double fairShare) {
    return load > OVERRIDE_SHARE * fairShare;
  }

  /**
   * Tells whether a key that is placed apart is light enough to return to its slot.
   *
   * @param load the key's work per second
   * @param fairShare the work per second of a service divided by its upstreams
   * @return true if it is
   */
  public static boolean isCool(double load, double fairShare) {
    return load <= COOL_SHARE * fairShare;
  }
}
