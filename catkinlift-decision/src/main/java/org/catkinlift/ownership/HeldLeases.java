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
  private static final int REMEMBERED_ANSWERS = 64;

  private final TreeMap<Long, Long> answeredAt = new TreeMap<>();
  private ImmutableMap<UpstreamId, Held> held = ImmutableMap.of();
  private ImmutableMap<UpstreamId, Epoch> givenUp = ImmutableMap.of();
  private long term;
  private long newestSequence;

  private record Held(DispatchLease lease, long untilNanos) {}

  /**
   * Takes over the leases of a heartbeat; they replace all earlier ones.
   *
   * @return false if the heartbeat is older than one that has been taken over
   */
  boolean accept(Heartbeat heartbeat, long nowNanos) {
    boolean older =
        heartbeat.term() < term
            || (heartbeat.term() == term && heartbeat.sequence() <= newestSequence);
    if (older) {
      return false;
    }
    boolean newTerm = heartbeat.term() > term;
    if (newTerm) {
      answeredAt.clear();
    }
    term = heartbeat.term();
    newestSequence = heartbeat.sequence();
    Long base = answeredAt.get(heartbeat.answered());
    replace(base == null ? retained(heartbeat, newTerm) : from(heartbeat.leases(), base));
    answeredAt.put(heartbeat.sequence(), nowNanos);
    if (answeredAt.size() > REMEMBERED_ANSWERS) {
      answeredAt.pollFirstEntry();
    }
    return true;
  }

  /**
   * Without a known answer the new leases cannot be timed. Those of a former coordinator run out;
   * of those of the present one only the named ones stay, with their earlier ends.
   */
  private ImmutableMap<UpstreamId, Held> retained(Heartbeat heartbeat, boolean newTerm) {
    if (newTerm) {
      return held;
    }
    ImmutableSet<UpstreamId> named =
        heartbeat.leases().stream().map(DispatchLease::upstream).collect(toImmutableSet());
    return ImmutableMap.copyOf(Maps.filterKeys(held, named::contains));
  }

  /** Tells whether the coordinator has seen an answer of this run of the process. */
  boolean knowsAnswer(long sequence) {
    return answeredAt.containsKey(sequence);
  }

  /** Takes over the leases that this daemon gives to itself as the coordinator. */
  void acceptOwn(long ownTerm, List<DispatchLease> leases, long nowNanos) {
    term = Math.max(term, ownTerm);
    replace(from(leases, nowNanos));
  }

  /** A lease that is no longer named is given up for good: its epoch is not named again. */
  private void replace(ImmutableMap<UpstreamId, Held> next) {
    var ended = ImmutableMap.<UpstreamId, Epoch>builder().putAll(givenUp);
    held.forEach((upstream, h) -> ended.put(upstream, h.lease.epoch()));
    givenUp =
        ImmutableMap.copyOf(Maps.filterKeys(ended.buildKeepingLast(), u -> !next.containsKey(u)));
    held = next;
  }

  /** Returns the epochs of the leases that the coordinator has taken back, by upstream. */
  ImmutableMap<UpstreamId, Epoch> givenUp() {
    return givenUp;
  }

  ImmutableList<DispatchLease> current(long nowNanos) {
    return held.values().stream()
        .filter(h -> h.untilNanos > nowNanos)
        .map(h -> remaining(h, nowNanos))
        .collect(toImmutableList());
  }

  long term() {
    return term;
  }

  private static DispatchLease remaining(Held held, long nowNanos) {
    DispatchLease lease = held.lease;
    var left = Duration.ofNanos(held.untilNanos - nowNanos);
    return new DispatchLease(
        lease.upstream(), lease.holder(), lease.epoch(), left, lease.priorRelease());
  }

  private static ImmutableMap<UpstreamId, Held> from(List<DispatchLease> leases, long base) {
    var map = ImmutableMap.<UpstreamId, Held>builder();
    leases.forEach(l -> map.put(l.upstream(), new Held(l, base + l.remaining().toNanos())));
    return map.buildKeepingLast();
  }

  /** Gives up all leases, when this daemon leaves or its coordinator has. */
  void clear() {
    held = ImmutableMap.of();
    givenUp = ImmutableMap.of();
  }
}
