package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Leaves unreachable upstreams out of the candidates for a while, by the same rule as the keyed
 * services of the gateway.
 */
final class UnreachableUpstreams {
  private static final Duration EXCLUSION = Duration.ofSeconds(3);
  private static final double MAX_SHARE = 0.2;

  private final Map<UpstreamId, Long> excludedUntilNanos = new HashMap<>();

  void update(ImmutableSet<UpstreamId> unreachable, long nowNanos) {
    excludedUntilNanos.values().removeIf(untilNanos -> nowNanos > untilNanos);
    unreachable.forEach(u -> excludedUntilNanos.put(u, nowNanos + EXCLUSION.toNanos()));
  }

  /** Returns the reachable upstreams, or all if the fault appears to be local. */
  ImmutableList<UpstreamRecord> withoutUnreachable(ImmutableList<UpstreamRecord> inService) {
    ImmutableList<UpstreamRecord> reachable =
        inService.stream()
            .filter(u -> !excludedUntilNanos.containsKey(u.id()))
            .collect(ImmutableList.toImmutableList());
    int unreachableCount = inService.size() - reachable.size();
    return unreachableCount > inService.size() * MAX_SHARE ? inService : reachable;
  }
}
