package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.catkinlift.model.UpstreamId;

/**
 * What one run of an upstream holds and executes, measured by the slowest clock that an upstream
 * may have.
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
  private final Map<Integer, KeyHold> holds = new HashMap<>();
  private final UpstreamWork work = new UpstreamWork();

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

  /**
   * Applies a release: ends the holds at once, and answers at the end of the work on the keys.
   *
   * @param answer receives the result
   */
  void release(RangeAction.Release release, Consumer<GrantResult> answer) {
    Map<Integer, KeyHold> endedHolds = new HashMap<>(holds);
    for (int key : KeySample.in(release.range())) {
      if (behavior.seesTokensOfUnheldKeys() || highestFences.containsKey(key)) {
        highestFences.merge(key, release.fence(), Math::max);
      }
      holds.computeIfPresent(key, (k, hold) -> hold.released());
    }
    if (behavior.confirmsReleasesDuringWork()) {
      work.released(release.range(), endedHolds::get, result -> {});
      answer.accept(new GrantResult.Done(Optional.of("handover")));
    } else {
      work.released(release.range(), endedHolds::get, answer);
    }
  }

  /**
   * Starts to execute a request.
   *
   * @return the execution, or empty if the key is not held
   */
  OptionalLong startWork(int key, long nowNanos) {
    return holds(key, nowNanos) ? OptionalLong.of(work.start(key)) : OptionalLong.empty();
  }

  /**
   * Ends an execution.
   *
   * @return whether the lease of the key lasted until now, so that the response is no failure
   */
  boolean endWork(long execution, long nowNanos) {
    return work.end(execution).filter(e -> holdOf(e).expiryNanos() > nowNanos).isPresent();
  }

  /** Returns the hold under which a request is executed, as if it had not been released. */
  private KeyHold holdOf(UpstreamWork.Execution execution) {
    return execution.releasedHold().or(lastHold(execution.key()));
  }

  /** Ends this run with all that it executes. */
  void end() {
    work.abort();
  }

  boolean isAtWork(int key) {
    return !work.on(key).isEmpty();
  }

  /**
   * Returns whether a request is executed on a key under a hold that would not have expired yet
   * without a release. Grants that the rules do not count are left out.
   */
  boolean isAtWorkBeforeExpiry(int key, long nowNanos) {
    return work.on(key).stream().anyMatch(e -> holdOf(e).countedExpiryNanos() > nowNanos);
  }

  private KeyHold lastHold(int key) {
    return holds.getOrDefault(key, KeyHold.NONE);
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
    KeyHold hold = lastHold(key);
    return "%s fence %d until %d ms"
        .formatted(id, hold.fence(), Duration.ofNanos(hold.expiryNanos()).toMillis());
  }
}
