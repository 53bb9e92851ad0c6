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
 * Keeps the dispatch leases that this daemon holds.
 *
 * <p>A lease counts from the moment at which this daemon sent the answer that the heartbeat names,
 * so a delayed heartbeat cannot lengthen it.
 */
final class HeldLeases {
  private static final int MAX_TRACKED_ANSWERS = 64;

  private final TreeMap<Long, Long> answeredAt = new TreeMap<>();
  private ImmutableMap<UpstreamId, HeldLease> held = ImmutableMap.of();
  private ImmutableMap<UpstreamId, Epoch> relinquished = ImmutableMap.of();
  private long term;
  private long newestSequence;

  private record HeldLease(DispatchLease lease, long untilNanos) {}

  /**
   * Takes over the leases of a heartbeat; they replace all earlier ones.
   *
   * @return false if the heartbeat is older than one that has been taken over
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
   * Without a known answer the new leases cannot be timed. Those of a former coordinator run out;
   * of those of the present one only the named ones stay, with their earlier ends.
   */
  private ImmutableMap<UpstreamId, HeldLease> retained(Heartbeat heartbeat, boolean newTerm) {
    if (newTerm) {
      return held;
    }
    ImmutableSet<UpstreamId> named =
        heartbeat.leases().stream().map(DispatchLease::upstream).collect(toImmutableSet());
    return ImmutableMap.copyOf(Maps.filterKeys(held, named::contains));
  }

  /** Tells whether the coordinator has seen an answer of this run of the process. */
  boolean isAnswerOfThisRun(long sequence) {
    return answeredAt.containsKey(sequence);
  }

  /** Takes over the leases that this daemon gives to itself as the coordinator. */
  void acceptOwn(long ownTerm, List<DispatchLease> leases, long nowNanos) {
    term = Math.max(term, ownTerm);
    replace(timedFrom(leases, nowNanos));
  }

  /** A lease that is no longer named is given up for good: its epoch is not named again. */
  private void replace(ImmutableMap<UpstreamId, HeldLease> next) {
    var ended = ImmutableMap.<UpstreamId, Epoch>builder().putAll(relinquished);
    held.forEach((upstream, h) -> ended.put(upstream, h.lease.epoch()));
    relinquished =
        ImmutableMap.copyOf(Maps.filterKeys(ended.buildKeepingLast(), u -> !next.containsKey(u)));
    held = next;
  }

  /** Returns the epochs of the leases that the coordinator has taken back, by upstream. */
  ImmutableMap<UpstreamId, Epoch> relinquished() {
    return relinquished;
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
    var left = Duration.ofNanos(held.untilNanos - nowNanos);
    return new DispatchLease(
        lease.upstream(), lease.holder(), lease.epoch(), left, lease.priorRelease());
  }

  private static ImmutableMap<UpstreamId, HeldLease> timedFrom(
      List<DispatchLease> leases, long base) {
    var map = ImmutableMap.<UpstreamId, HeldLease>builder();
    leases.forEach(l -> map.put(l.upstream(), new HeldLease(l, base + l.remaining().toNanos())));
    return map.buildKeepingLast();
  }

  /** Gives up all leases, when this daemon leaves or its coordinator has. */
  void clear() {
    held = ImmutableMap.of();
    relinquished = ImmutableMap.of();
  }
}
