package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Finds keys that two upstreams hold, and fencing tokens out of order, from what they hold. */
final class OwnershipCheck {
  private final List<String> violations = new ArrayList<>();

  ImmutableList<String> violations() {
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
      if (!granted.holds(key, nowNanos)) {
        continue;
      }
      for (UpstreamProcess other : running) {
        if (other != granted) {
          checkPair(key, granted, other, nowNanos);
        }
      }
    }
  }

  private void checkPair(int key, UpstreamProcess granted, UpstreamProcess other, long nowNanos) {
    if (other.holds(key, nowNanos)) {
      add(key, granted, other, "two holders", nowNanos);
    }
    if (other.highestGrantedFence(key) >= granted.highestGrantedFence(key)) {
      add(key, granted, other, "fence not above that of the other", nowNanos);
    }
  }

  /** Checks that no tracked key has two holders now. */
  void checkAllKeys(Collection<UpstreamProcess> running, long nowNanos) {
    for (int key : KeySample.KEYS) {
      List<UpstreamProcess> holders =
          running.stream().filter(p -> p.holdsCounted(key, nowNanos)).toList();
      if (holders.size() > 1) {
        add(key, holders.get(0), holders.get(1), "two holders", nowNanos);
      }
    }
  }

  private void add(
      int key, UpstreamProcess holder, UpstreamProcess other, String rule, long nowNanos) {
    violations.add(
        "%s: key %d at %d ms: %s, %s"
            .formatted(
                rule,
                key,
                Duration.ofNanos(nowNanos).toMillis(),
                holder.describe(key),
                other.describe(key)));
  }
}
