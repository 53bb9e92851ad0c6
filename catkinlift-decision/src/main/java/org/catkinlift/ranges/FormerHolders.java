package org.catkinlift.ranges;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.catkinlift.model.UpstreamId;

/**
 * The upstreams that keys have left a short time ago. Requests that were sent to a former holder
 * may still wait or run there. If the keys returned meanwhile, such a request would be executed
 * under the later hold, after requests that another upstream has executed in between. Confined to
 * the control thread.
 */
final class FormerHolders {
  /** Longer than a request takes that was sent to the former holder. */
  static final Duration RETURN_DELAY = Duration.ofSeconds(4);

  private final Deque<Departure> departures = new ArrayDeque<>();

  /** The move of keys away from an upstream. */
  private record Departure(KeyRange range, UpstreamId from, long atNanos) {

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
   * @param nowNanos the time at which it came into force; not before that of earlier changes
   */
  void changed(RangeMap.Reassignment change, long nowNanos) {
    RangeAssignment assignment = change.assignment();
    change.replacedHolders().stream()
        .map(Holder::upstream)
        .filter(from -> !from.equals(assignment.holder().upstream()))
        .distinct()
        .forEach(from -> departures.add(new Departure(assignment.range(), from, nowNanos)));
  }

  /** Removes the departures after which keys may return. */
  void removeExpired(long nowNanos) {
    while (!departures.isEmpty() && departures.peek().isOver(nowNanos)) {
      departures.remove();
    }
  }

  /**
   * Returns whether some of the keys have left an upstream so recently that they must not return.
   */
  boolean includes(UpstreamId upstream, KeyRange range) {
    return departures.stream()
        .anyMatch(d -> d.from().equals(upstream) && d.range().overlaps(range));
  }
}
