package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.UpstreamId;

/**
 * What one run of an upstream holds, measured by the slowest clock that an upstream may have.
 *
 * <p>A run starts without grants and without fencing tokens. Only a sample of the keys is tracked.
 */
final class UpstreamProcess {
  /** Ratio of real time to the time that a clock measures which runs 2 % slow. */
  private static final double CLOCK_SLOWDOWN = 1 / 0.98;

  private final UpstreamId id;
  private final long startedMillis;
  private final UpstreamBehavior behavior;
  private final Map<Integer, Long> highestFences = new HashMap<>();
  private final Map<Integer, Hold> holds = new HashMap<>();

  /**
   * The hold of a key.
   *
   * @param fence the fencing token of the last grant
   * @param expiryNanos the end of the hold
   * @param countedExpiryNanos the end of the hold without grants that the rules do not count
   */
  private record Hold(long fence, long expiryNanos, long countedExpiryNanos) {
    private static final Hold NONE = new Hold(0, 0, 0);

    private Hold extend(long newFence, long newExpiryNanos, boolean isCounted) {
      return new Hold(
          newFence,
          Math.max(expiryNanos, newExpiryNanos),
          isCounted ? Math.max(countedExpiryNanos, newExpiryNanos) : countedExpiryNanos);
    }

    private Hold released() {
      return new Hold(fence, 0, 0);
    }
  }

  UpstreamProcess(UpstreamId id, long startedMillis) {
    this(id, startedMillis, UpstreamBehavior.STRICT);
  }

  UpstreamProcess(UpstreamId id, long startedMillis, UpstreamBehavior behavior) {
    this.id = id;
    this.behavior = behavior;
    this.startedMillis = startedMillis;
  }

  UpstreamId id() {
    return id;
  }

  long startedMillis() {
    return startedMillis;
  }

  /**
   * Applies a grant.
   *
   * @param arrivedNanos when the call arrived, from which the grant counts
   * @param isCounted whether the rules on ownership count the grant
   */
  GrantResult grant(RangeAction.Grant grant, long arrivedNanos, boolean isCounted) {
    long fence = grant.assignment().fence();
    ImmutableList<Integer> keys = KeySample.in(grant.assignment().range());
    if (!behavior.checksAtArrival() && !admits(grant)) {
      return new GrantResult.Outdated();
    }
    long expiryNanos = arrivedNanos + (long) (grant.duration().toNanos() * CLOCK_SLOWDOWN);
    for (int key : keys) {
      highestFences.merge(key, fence, Math::max);
      holds.put(key, lastHold(key).extend(fence, expiryNanos, isCounted));
    }
    return new GrantResult.Done(Optional.empty());
  }

  /** Returns whether a grant's fencing token is as high as the highest one seen. */
  boolean admits(RangeAction.Grant grant) {
    long fence = grant.assignment().fence();
    return KeySample.in(grant.assignment().range()).stream()
        .allMatch(k -> highestFences.getOrDefault(k, 0L) <= fence);
  }

  GrantResult release(RangeAction.Release release) {
    for (int key : KeySample.in(release.range())) {
      if (behavior.seesTokensOfUnheldKeys() || highestFences.containsKey(key)) {
        highestFences.merge(key, release.fence(), Math::max);
      }
      holds.computeIfPresent(key, (k, hold) -> hold.released());
    }
    return new GrantResult.Done(Optional.of("handover"));
  }

  private Hold lastHold(int key) {
    return holds.getOrDefault(key, Hold.NONE);
  }

  boolean holds(int key, long nowNanos) {
    return lastHold(key).expiryNanos() > nowNanos;
  }

  /** Returns whether a key is held under a grant that the rules count. */
  boolean holdsCounted(int key, long nowNanos) {
    return lastHold(key).countedExpiryNanos() > nowNanos;
  }

  boolean holdsAll(long nowNanos) {
    return KeySample.KEYS.stream().allMatch(k -> holds(k, nowNanos));
  }

  /** Returns the fencing token of the last grant of a key; 0 without any. */
  long lastGrantedFence(int key) {
    return lastHold(key).fence();
  }

  String describe(int key) {
    Hold hold = lastHold(key);
    return "%s fence %d until %d ms"
        .formatted(id, hold.fence(), Duration.ofNanos(hold.expiryNanos()).toMillis());
  }
}
