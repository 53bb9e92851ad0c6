package org.catkinlift.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;

/**
 * Keeps what the latest dispatcher of each upstream left behind, for its successor.
 *
 * <p>A release counts only if it is of the lease that was given immediately before, because a later
 * dispatcher may have sent more. It is no permission: who may have the lease is decided in {@link
 * DispatchLeases}.
 */
final class DispatchHandOvers {
  private final Map<UpstreamId, History> histories = new HashMap<>();

  private record Given(HostId holder, Epoch epoch) {}

  private record Released(Given by, DispatchRelease release) {}

  private record History(Given latest, Optional<Given> previous, Optional<Released> released) {
    History followedBy(Given next) {
      return new History(next, Optional.of(latest), released.filter(r -> r.by.equals(latest)));
    }

    boolean knows(Given by) {
      return by.equals(latest) || previous.filter(by::equals).isPresent();
    }

    History with(Released next) {
      return new History(latest, previous, Optional.of(next));
    }
  }

  /** Notes that a lease was named to its holder. */
  void given(UpstreamId upstream, HostId holder, Epoch epoch) {
    var given = new Given(holder, epoch);
    History history = histories.get(upstream);
    if (history == null) {
      histories.put(upstream, new History(given, Optional.empty(), Optional.empty()));
    } else if (!history.latest.equals(given)) {
      histories.put(upstream, history.followedBy(given));
    }
  }

  /** Tells whether a lease was named to its holder before. */
  boolean wasGiven(UpstreamId upstream, HostId holder, Epoch epoch) {
    History history = histories.get(upstream);
    return history != null && history.latest.equals(new Given(holder, epoch));
  }

  /**
   * Takes a release; repeated and late ones never raise the numbers of an earlier one.
   *
   * @return true if it is the first of a lease that matters for the next dispatcher
   */
  boolean released(HostId host, UpstreamId upstream, DispatchRelease release) {
    var by = new Given(host, release.epoch());
    History history = histories.get(upstream);
    if (history == null || !history.knows(by)) {
      return false;
    }
    Optional<Released> known = history.released;
    if (known.isEmpty() || release.epoch().isAfter(known.get().by.epoch)) {
      histories.put(upstream, history.with(new Released(by, release)));
      return true;
    }
    if (known.get().by.equals(by)) {
      DispatchRelease lowest = lowest(known.get().release, release);
      histories.put(upstream, history.with(new Released(by, lowest)));
    }
    return false;
  }

  /** Returns what was left for a lease; empty if its holder gave the lease before it up itself. */
  Optional<DispatchRelease> earlier(UpstreamId upstream, HostId holder, Epoch epoch) {
    History history = histories.get(upstream);
    if (history == null) {
      return Optional.empty();
    }
    boolean named = history.latest.equals(new Given(holder, epoch));
    Optional<Given> before = named ? history.previous : Optional.of(history.latest);
    return before
        .filter(b -> !b.holder.equals(holder))
        .flatMap(b -> history.released.filter(r -> r.by.equals(b)))
        .map(Released::release);
  }

  private static DispatchRelease lowest(DispatchRelease a, DispatchRelease b) {
    return new DispatchRelease(
        a.epoch(),
        Math.min(a.running(), b.running()),
        min(a.startsWithin(), b.startsWithin()),
        min(a.endsWithin(), b.endsWithin()));
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
