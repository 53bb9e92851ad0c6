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
 * Tracks the requests that the latest dispatcher of each upstream left behind, for its successor.
 *
 * <p>A release is passed on only if it belongs to the lease issued immediately before, because a
 * later dispatcher may have sent more requests. It does not permit a new lease; that is decided in
 * {@link DispatchLeases}.
 */
final class DispatchHandovers {
  private final Map<UpstreamId, History> histories = new HashMap<>();

  private record IssuedLease(HostId holder, Epoch epoch) {}

  private record RecordedRelease(IssuedLease lease, DispatchRelease release) {}

  private record History(
      IssuedLease latest, Optional<IssuedLease> previous, Optional<RecordedRelease> released) {
    History followedBy(IssuedLease next) {
      return new History(next, Optional.of(latest), released.filter(r -> r.lease.equals(latest)));
    }

    boolean includes(IssuedLease lease) {
      return lease.equals(latest) || previous.filter(lease::equals).isPresent();
    }

    History with(RecordedRelease next) {
      return new History(latest, previous, Optional.of(next));
    }
  }

  /** Records that a lease was issued to its holder. */
  void onIssued(UpstreamId upstream, HostId holder, Epoch epoch) {
    var issued = new IssuedLease(holder, epoch);
    History history = histories.get(upstream);
    if (history == null) {
      histories.put(upstream, new History(issued, Optional.empty(), Optional.empty()));
    } else if (!history.latest.equals(issued)) {
      histories.put(upstream, history.followedBy(issued));
    }
  }

  /** Returns whether a lease is the latest one issued for the upstream. */
  boolean wasIssued(UpstreamId upstream, HostId holder, Epoch epoch) {
    History history = histories.get(upstream);
    return history != null && history.latest.equals(new IssuedLease(holder, epoch));
  }

  /**
   * Records a release; repeated and delayed ones never increase the numbers of an earlier one.
   *
   * @return true if it is the first release of a lease that is relevant for the next dispatcher
   */
  boolean onReleased(HostId host, UpstreamId upstream, DispatchRelease release) {
    var lease = new IssuedLease(host, release.epoch());
    History history = histories.get(upstream);
    if (history == null || !history.includes(lease)) {
      return false;
    }
    Optional<RecordedRelease> known = history.released;
    if (known.isEmpty() || release.epoch().isAfter(known.get().lease.epoch)) {
      histories.put(upstream, history.with(new RecordedRelease(lease, release)));
      return true;
    }
    if (known.get().lease.equals(lease)) {
      DispatchRelease lowest = lowest(known.get().release, release);
      histories.put(upstream, history.with(new RecordedRelease(lease, lowest)));
    }
    return false;
  }

  /**
   * Returns the release of the lease before the given one; empty if it is unknown or the same
   * daemon held both.
   */
  Optional<DispatchRelease> releaseBefore(UpstreamId upstream, HostId holder, Epoch epoch) {
    History history = histories.get(upstream);
    if (history == null) {
      return Optional.empty();
    }
    boolean alreadyIssued = history.latest.equals(new IssuedLease(holder, epoch));
    Optional<IssuedLease> predecessor =
        alreadyIssued ? history.previous : Optional.of(history.latest);
    return predecessor
        .filter(p -> !p.holder.equals(holder))
        .flatMap(p -> history.released.filter(r -> r.lease.equals(p)))
        .map(RecordedRelease::release);
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
