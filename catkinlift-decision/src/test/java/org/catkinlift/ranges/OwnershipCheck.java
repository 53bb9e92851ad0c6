package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.catkinlift.model.UpstreamId;

/**
 * Finds keys that two upstreams hold, fencing tokens out of order, and grants of keys on which
 * another upstream is at work, from what the upstreams hold and execute.
 */
final class OwnershipCheck {
  private final List<OwnershipViolation> violations = new ArrayList<>();

  /** The highest fencing token under which each upstream ever had a key. */
  private final Map<Integer, Map<UpstreamId, Long>> fences = new HashMap<>();

  ImmutableList<OwnershipViolation> violations() {
    return ImmutableList.copyOf(violations);
  }

  /**
   * Checks the keys of a grant that was just applied.
   *
   * @param granted the upstream that took the grant
   * @param running the upstreams that are up
   */
  void grantApplied(
      UpstreamProcess granted,
      RangeAssignment assignment,
      Collection<UpstreamProcess> running,
      long nowNanos) {
    for (int key : KeySample.in(assignment.range())) {
      if (granted.holds(key, nowNanos)) {
        checkFence(key, granted, nowNanos);
        checkExclusive(key, granted, running, nowNanos);
        checkNoWorkElsewhere(key, granted, running, nowNanos);
      }
    }
  }

  private void checkExclusive(
      int key, UpstreamProcess granted, Collection<UpstreamProcess> running, long nowNanos) {
    for (UpstreamProcess other : running) {
      if (other != granted && other.holds(key, nowNanos)) {
        addTwoHolders(key, granted, other, nowNanos);
      }
    }
  }

  private void checkNoWorkElsewhere(
      int key, UpstreamProcess granted, Collection<UpstreamProcess> running, long nowNanos) {
    for (UpstreamProcess other : running) {
      if (other != granted && other.isAtWorkBeforeExpiry(key, nowNanos)) {
        String details = granted.describe(key) + ", at work " + other.describe(key);
        violations.add(
            new OwnershipViolation(
                OwnershipViolation.Rule.NO_WORK_ELSEWHERE, key, nowNanos, details));
      }
    }
  }

  private void checkFence(int key, UpstreamProcess granted, long nowNanos) {
    Map<UpstreamId, Long> fencesOfKey = fences.computeIfAbsent(key, k -> new HashMap<>());
    long fence = granted.lastGrantedFence(key);
    fencesOfKey.forEach(
        (other, otherFence) -> {
          if (!other.equals(granted.id()) && otherFence >= fence) {
            String details = granted.describe(key) + ", earlier " + other + " fence " + otherFence;
            violations.add(
                new OwnershipViolation(
                    OwnershipViolation.Rule.RISING_FENCES, key, nowNanos, details));
          }
        });
    fencesOfKey.merge(granted.id(), fence, Math::max);
  }

  /** Checks that no tracked key has two holders now. */
  void checkAllKeys(Collection<UpstreamProcess> running, long nowNanos) {
    for (int key : KeySample.KEYS) {
      List<UpstreamProcess> holders =
          running.stream().filter(p -> p.holdsCounted(key, nowNanos)).toList();
      if (holders.size() > 1) {
        addTwoHolders(key, holders.get(0), holders.get(1), nowNanos);
      }
    }
  }

  private void addTwoHolders(int key, UpstreamProcess one, UpstreamProcess other, long nowNanos) {
    String details = one.describe(key) + ", " + other.describe(key);
    violations.add(
        new OwnershipViolation(OwnershipViolation.Rule.ONE_HOLDER, key, nowNanos, details));
  }
}
