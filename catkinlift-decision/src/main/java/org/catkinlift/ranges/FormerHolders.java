package org.catkinlift.ranges;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The upstreams whose hold of keys ended a short time ago. Requests that were sent to a former
 * holder may still wait there. If the keys returned meanwhile, such a request would be executed
 * under the later hold, after requests that another upstream has executed in between. A later
 * incarnation of an upstream has no such requests. Confined to the control thread.
 */
final class FormerHolders {
  /** Longer than the callers' usual deadlines, after which a request no longer waits. */
  private static final Duration RETURN_DELAY = Duration.ofSeconds(4);

  private final Map<Holder, List<Departure>> departures = new HashMap<>();

  /** Keys that a holder has left, and until when they stay away. */
  private record Departure(KeyRange range, long untilNanos) {}

  /** Forgets all former holders. */
  void clear() {
    departures.clear();
  }

  /** Records that the hold of a former holder has ended. */
  void holdEnded(Holder holder, KeyRange range, long nowNanos) {
    var departure = new Departure(range, nowNanos + RETURN_DELAY.toNanos());
    departures.computeIfAbsent(holder, h -> new ArrayList<>()).add(departure);
  }

  /** Removes the departures after which keys may return. */
  void removeExpired(long nowNanos) {
    departures.values().forEach(own -> own.removeIf(d -> nowNanos >= d.untilNanos()));
    departures.values().removeIf(List::isEmpty);
  }

  /** Returns whether some of the keys have left a holder so recently that they stay away. */
  boolean includes(Holder holder, KeyRange range) {
    List<Departure> own = departures.get(holder);
    return own != null && own.stream().anyMatch(d -> d.range().overlaps(range));
  }
}
