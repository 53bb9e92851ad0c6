package org.catkinlift.ranges;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The upstreams that keys have left a short time ago. Requests that were sent to a former holder
 * may still wait or run there. If the keys returned meanwhile, such a request would be executed
 * under the later hold, after requests that another upstream has executed in between. A later
 * incarnation of an upstream has no such requests. Confined to the control thread.
 */
final class FormerHolders {
  /** Longer than a request takes that was sent to the former holder. */
  private static final Duration RETURN_DELAY = Duration.ofSeconds(4);

  private final Map<Holder, Deque<Departure>> departures = new HashMap<>();

  /** The move of keys away from an upstream. */
  private record Departure(KeyRange range, long atNanos) {

    boolean isOver(long nowNanos) {
      return nowNanos - atNanos >= RETURN_DELAY.toNanos();
    }
  }

  /** Forgets all former holders. */
  void clear() {
    departures.clear();
  }

  /**
   * Records the moves of a change of the map.
   *
   * @param change the change
   * @param nowNanos the time at which it came into force
   */
  void changed(RangeMap.Reassignment change, long nowNanos) {
    RangeAssignment assignment = change.assignment();
    change.replacedHolders().stream()
        .filter(from -> !from.equals(assignment.holder()))
        .forEach(from -> add(from, new Departure(assignment.range(), nowNanos)));
  }

  private void add(Holder from, Departure departure) {
    departures.computeIfAbsent(from, f -> new ArrayDeque<>()).add(departure);
  }

  /** Removes the departures after which keys may return. */
  void removeExpired(long nowNanos) {
    departures.values().forEach(own -> own.removeIf(d -> d.isOver(nowNanos)));
    departures.values().removeIf(Deque::isEmpty);
  }

  /** Returns whether some of the keys have left a holder so recently that they stay away. */
  boolean includes(Holder holder, KeyRange range) {
    Deque<Departure> own = departures.get(holder);
    return own != null && own.stream().anyMatch(d -> d.range().overlaps(range));
  }
}
