package org.catkinlift.ranges.explore;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.ranges.RangeAction;

/**
 * One process of an upstream, as unkind as the platform's pages allow: it starts without tokens,
 * holds and work, and confirms a release only when the work on the released keys has ended.
 */
final class ExploredProcess {
  /** Keys that lie in different ranges after the splits that a search can cause. */
  static final ImmutableList<Integer> KEYS =
      ImmutableList.of(100, ExploredSystem.BUSY_KEY, 20_000, 50_000);

  /** Ratio of real time to the time that a clock measures which runs 2 % slow. */
  private static final double CLOCK_SLOWDOWN = 1 / 0.98;

  private final String name;
  private final Map<Integer, KeyHold> holds = new TreeMap<>();
  private Optional<Integer> keyOfWork = Optional.empty();

  ExploredProcess(String name) {
    this.name = name;
  }

  /** Creates a copy. */
  ExploredProcess(ExploredProcess original) {
    this(original.name);
    holds.putAll(original.holds);
    keyOfWork = original.keyOfWork;
  }

  String name() {
    return name;
  }

  KeyHold holdOf(int key) {
    return holds.getOrDefault(key, KeyHold.NONE);
  }

  boolean holds(int key, long nowNanos) {
    return holdOf(key).expiryNanos() > nowNanos;
  }

  Optional<Integer> keyOfWork() {
    return keyOfWork;
  }

  boolean isAtWorkIn(KeyRange range) {
    return keyOfWork.filter(range::contains).isPresent();
  }

  void beginWork(int key) {
    keyOfWork = Optional.of(key);
  }

  void endWork() {
    keyOfWork = Optional.empty();
  }

  /** Ends work that has outlasted its hold. */
  void endExpiredWork(long nowNanos) {
    keyOfWork = keyOfWork.filter(k -> holdOf(k).workExpiryNanos() > nowNanos);
  }

  /** Returns when the hold of a grant ends that arrives now. */
  static long expiryNanos(RangeAction.Grant grant, long arrivedNanos) {
    return arrivedNanos + (long) (grant.duration().toNanos() * CLOCK_SLOWDOWN);
  }

  /**
   * Applies a grant.
   *
   * @return false if a higher token was seen on one of the keys
   */
  boolean grant(RangeAction.Grant grant, long expiryNanos) {
    long fence = grant.assignment().fence();
    ImmutableList<Integer> keys = keysIn(grant.assignment().range());
    if (keys.stream().anyMatch(k -> holdOf(k).highestFence() > fence)) {
      return false;
    }
    keys.forEach(k -> holds.put(k, holdOf(k).granted(fence, expiryNanos)));
    return true;
  }

  /** Stops new work on keys. */
  void release(RangeAction.Release release) {
    keysIn(release.range()).forEach(k -> holds.put(k, holdOf(k).released(release.fence())));
  }

  static ImmutableList<Integer> keysIn(KeyRange range) {
    return KEYS.stream().filter(range::contains).collect(ImmutableList.toImmutableList());
  }
}
