package org.catkinlift.ranges.explore;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.ranges.RangeAction;

/** Checks what the upstreams hold and work on, and keeps the first violation. */
final class OwnershipRules {
  /**
   * The highest fencing token under which each upstream ever had a key, in the order of first
   * grants.
   */
  private final Map<KeyAtUpstream, Long> fences = new LinkedHashMap<>();

  private Optional<String> violation = Optional.empty();

  private record KeyAtUpstream(int key, String upstream) {}

  OwnershipRules() {}

  /** Creates a copy. */
  OwnershipRules(OwnershipRules original) {
    fences.putAll(original.fences);
    violation = original.violation;
  }

  Optional<String> violation() {
    return violation;
  }

  /**
   * Checks a grant that was just applied.
   *
   * @param granted the process that took it
   * @param running the processes that are up
   * @param isCounted false for a grant that was applied late, which only the rule on tokens counts
   */
  void grantApplied(
      ExploredProcess granted,
      RangeAction.Grant grant,
      Collection<ExploredProcess> running,
      boolean isCounted,
      long nowNanos) {
    for (int key : ExploredProcess.keysIn(grant.assignment().range())) {
      if (granted.holds(key, nowNanos)) {
        checkFence(granted, key);
        if (isCounted) {
          running.stream().filter(p -> p != granted).forEach(p -> checkWork(p, key, nowNanos));
        }
      }
    }
  }

  private void checkFence(ExploredProcess granted, int key) {
    long fence = granted.holdOf(key).heldFence();
    fences.forEach(
        (other, otherFence) -> {
          if (other.key() == key
              && !other.upstream().equals(granted.name())
              && otherFence >= fence) {
            report(
                "%s has key %d under token %d, %s had it under token %d"
                    .formatted(granted.name(), key, fence, other.upstream(), otherFence));
          }
        });
    fences.merge(new KeyAtUpstream(key, granted.name()), fence, Math::max);
  }

  private void checkWork(ExploredProcess other, int key, long nowNanos) {
    boolean isAtWork = other.keyOfWork().filter(k -> k == key).isPresent();
    if (isAtWork && other.holdOf(key).workExpiryNanos() > nowNanos) {
      report(
          "key %d is granted to another upstream while %s works on it"
              .formatted(key, other.name()));
    }
  }

  /** Checks that no key has two holders. */
  void checkHolders(Collection<ExploredProcess> running, long nowNanos) {
    for (int key : ExploredProcess.KEYS) {
      if (running.stream().filter(p -> p.holds(key, nowNanos)).count() > 1) {
        report("key %d has two holders".formatted(key));
      }
    }
  }

  private void report(String text) {
    violation = violation.or(() -> Optional.of(text));
  }
}
