package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Heartbeat;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;

/**
 * Tracks the dispatch leases that this daemon holds.
 *
 * <p>A lease is measured from the time at which this daemon sent the answer that the heartbeat
 * refers to, so a delayed heartbeat cannot extend it.
 */
final class HeldLeases {
  private static final int MAX_TRACKED_ANSWERS = 64;

  private final TreeMap<Long, Long> answeredAt = new TreeMap<>();
  private ImmutableMap<UpstreamId, HeldLease> held = ImmutableMap.of();
  private ImmutableMap<UpstreamId, Epoch> revoked = ImmutableMap.of();
  private long term;
  private long newestSequence;

  private record HeldLease(DispatchLease lease, long untilNanos) {}

  /**
   * Replaces the held leases by those of a heartbeat.
   *
   * @return false if the heartbeat is older than the latest accepted one
   */
  boolean accept(Heartbeat heartbeat, long nowNanos) {
    boolean stale =
        heartbeat.term() < term
            || (heartbeat.term() == term && heartbeat.sequence() <= newestSequence);
    if (stale) {
      return false;
    }
    boolean newTerm = heartbeat.term() > term;
    if (newTerm) {
      answeredAt.clear();
    }
    term = heartbeat.term();
    newestSequence = heartbeat.sequence();
    Long base = answeredAt.get(heartbeat.answered());
    replace(base == null ? retained(heartbeat, newTerm) : timedFrom(heartbeat.leases(), base));
    answeredAt.put(heartbeat.sequence(), nowNanos);
    if (answeredAt.size() > MAX_TRACKED_ANSWERS) {
      answeredAt.pollFirstEntry();
    }
    return true;
  }

  /**
   * Returns the leases to keep if the heartbeat refers to no known answer, so that its leases have
   * no start time. Leases of a former coordinator are kept until they expire; of those of the
   * present coordinator only the listed ones are kept, with their earlier expiry.
   */
  private ImmutableMap<UpstreamId, HeldLease> retained(Heartbeat heartbeat, boolean newTerm) {
    if (newTerm) {
      return held;
    }
    ImmutableSet<UpstreamId> listed =
        heartbeat.leases().stream().map(DispatchLease::upstream).collect(toImmutableSet());
    return ImmutableMap.copyOf(Maps.filterKeys(held, listed::contains));
  }

  /** Returns whether this run of the process has sent the answer to a heartbeat. */
  boolean isAnswerOfThisRun(long sequence) {
    return answeredAt.containsKey(sequence);
  }

  /** Replaces the held leases by those that this daemon issues to itself as the coordinator. */
  void acceptOwn(long ownTerm, List<DispatchLease> leases, long nowNanos) {
    term = Math.max(term, ownTerm);
    replace(timedFrom(leases, nowNanos));
  }

  /**
   * A lease that is no longer listed is revoked for good: the coordinator does not issue its epoch
   * again.
   */
  private void replace(ImmutableMap<UpstreamId, HeldLease> next) {
    var ended = ImmutableMap.<UpstreamId, Epoch>builder().putAll(revoked);
    held.forEach((upstream, h) -> ended.put(upstream, h.lease.epoch()));
    revoked =
        ImmutableMap.copyOf(Maps.filterKeys(ended.buildKeepingLast(), u -> !next.containsKey(u)));
    held = next;
  }

  /** Returns the epochs of the leases that the coordinator has revoked, by upstream. */
  ImmutableMap<UpstreamId, Epoch> revoked() {
    return revoked;
  }

  ImmutableList<DispatchLease> currentLeases(long nowNanos) {
    return held.values().stream()
        .filter(h -> h.untilNanos > nowNanos)
        .map(h -> remaining(h, nowNanos))
        .collect(toImmutableList());
  }

  long term() {
    return term;
  }

  private static DispatchLease remaining(HeldLease held, long nowNanos) {
    DispatchLease lease = held.lease;
    var remainingTime = Duration.ofNanos(held.untilNanos - nowNanos);
    return new DispatchLease(
        lease.upstream(), lease.holder(), lease.epoch(), remainingTime, lease.priorRelease());
  }

  private static ImmutableMap<UpstreamId, HeldLease> timedFrom(
      List<DispatchLease> leases, long base) {
    var map = ImmutableMap.<UpstreamId, HeldLease>builder();
    leases.forEach(l -> map.put(l.upstream(), new HeldLease(l, base + l.remaining().toNanos())));
    return map.buildKeepingLast();
  }

  /**
   * Drops all leases without reporting them as revoked; called when this daemon loses the
   * coordinator role.
   */
  void clear() {
    held = ImmutableMap.of();
    revoked = ImmutableMap.of();
  }
}
