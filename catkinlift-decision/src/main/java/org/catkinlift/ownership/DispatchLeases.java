package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.catkinlift.control.DigestExchange;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.PeerMessage.Heartbeat;
import org.catkinlift.control.PeerMessage.HeartbeatAck;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;

/**
 * Selects one dispatcher for each upstream of a cell and tracks the dispatch leases on the
 * coordinator.
 *
 * <p>A new dispatcher gets a lease only after the lease of every earlier one has ended: because the
 * earlier dispatcher answered a heartbeat that does not list the lease, because the lease has
 * certainly expired, or because the upstream has confirmed that it refuses the earlier dispatcher.
 */
final class DispatchLeases {
  private final HostId self;
  private final OwnershipTimings timings;
  private final EpochIssuer epochs;
  private final VersionStore store;
  private final Map<UpstreamId, DispatcherChoice> choices = new TreeMap<>();
  private final Map<HostId, MemberState> members = new HashMap<>();
  private final DispatchHandovers handovers = new DispatchHandovers();
  private long sequence;

  private record DispatcherChoice(HostId holder, Epoch epoch) {}

  /** The heartbeat answers and outstanding leases of one daemon. */
  private static final class MemberState {
    private final Map<UpstreamId, OutstandingLease> outstanding = new HashMap<>();
    private long answeredSequence;
    private long answeredAt = Long.MIN_VALUE / 4;
    private final Map<String, Epoch> versions = new HashMap<>();
    private final DigestExchange exchange;
    private long stream;

    private MemberState(VersionStore store) {
      exchange = new DigestExchange(store);
    }
  }

  private record OutstandingLease(long untilNanos, long sequence, Epoch epoch) {}

  DispatchLeases(HostId self, OwnershipTimings timings, EpochIssuer epochs, VersionStore store) {
    this.self = self;
    this.timings = timings;
    this.epochs = epochs;
    this.store = store;
  }

  /**
   * Selects the dispatchers by rendezvous hashing, so that the loss of a daemon changes only the
   * dispatchers of its own upstreams.
   *
   * @return the upstreams whose dispatcher changed
   */
  ImmutableList<UpstreamId> choose(ImmutableSet<UpstreamId> upstreams, ImmutableSet<HostId> hosts) {
    choices.keySet().retainAll(upstreams);
    if (hosts.isEmpty()) {
      return ImmutableList.of();
    }
    var changed = ImmutableList.<UpstreamId>builder();
    for (UpstreamId upstream : upstreams) {
      HostId best = bestDispatcher(upstream, hosts);
      DispatcherChoice current = choices.get(upstream);
      if (current == null || !current.holder.equals(best)) {
        choices.put(upstream, new DispatcherChoice(best, epochs.next()));
        changed.add(upstream);
      }
    }
    return changed.build();
  }

  private static HostId bestDispatcher(UpstreamId upstream, ImmutableSet<HostId> hosts) {
    return hosts.stream()
        .max(
            Comparator.<HostId>comparingLong(h -> score(upstream, h))
                .thenComparing(Comparator.naturalOrder()))
        .orElseThrow();
  }

  private static long score(UpstreamId upstream, HostId host) {
    return Hashing.farmHashFingerprint64()
        .hashUnencodedChars(upstream.value() + "|" + host.value())
        .asLong();
  }

  Optional<HostId> dispatcher(UpstreamId upstream) {
    return Optional.ofNullable(choices.get(upstream)).map(DispatcherChoice::holder);
  }

  ImmutableMap<UpstreamId, HostId> dispatchers() {
    return choices.entrySet().stream()
        .collect(toImmutableMap(Map.Entry::getKey, e -> e.getValue().holder));
  }

  /** Starts the next round of heartbeats with a new sequence number. */
  void nextSequence() {
    sequence++;
  }

  long answeredSequence(HostId host) {
    return member(host).answeredSequence;
  }

  /** Returns the time of the latest answer of a daemon. */
  long answeredAt(HostId host) {
    return host.equals(self) ? Long.MAX_VALUE : member(host).answeredAt;
  }

  void onHeartbeatAck(HostId host, HeartbeatAck ack, long nowNanos) {
    MemberState member = member(host);
    if (ack.sequence() <= member.answeredSequence) {
      return;
    }
    member.answeredSequence = ack.sequence();
    member.answeredAt = nowNanos;
    recordVersions(member, ack);
    member.outstanding.values().removeIf(o -> o.sequence < ack.sequence());
  }

  /** Merges the stated versions; those stated by an earlier run of the daemon are discarded. */
  private static void recordVersions(MemberState member, HeartbeatAck ack) {
    if (ack.range().incarnation() != member.stream) {
      member.stream = ack.range().incarnation();
      member.versions.clear();
    }
    member.versions.putAll(ack.digest().versions());
    member.exchange.received(member.stream, ack.sequence(), ack.range());
  }

  /** Creates a heartbeat with the versions that its receiver has not seen yet. */
  Heartbeat heartbeat(CellId cell, long term, HostId host, ImmutableList<DispatchLease> issued) {
    MemberState member = member(host);
    DigestExchange.Outgoing next = member.exchange.next(sequence);
    var range = new DigestRange(0, next.base(), member.exchange.acknowledged());
    return new Heartbeat(
        cell, term, sequence, member.answeredSequence, next.digest(), range, issued);
  }

  /**
   * Records what a dispatcher left behind when it released its lease, and ends the lease.
   *
   * @return true if the next dispatcher should be notified without waiting for the next round
   */
  boolean onReleased(HostId host, UpstreamId upstream, DispatchRelease release) {
    OutstandingLease lease = member(host).outstanding.get(upstream);
    if (lease != null && lease.epoch.equals(release.epoch())) {
      member(host).outstanding.remove(upstream);
    }
    return handovers.onReleased(host, upstream, release);
  }

  /**
   * Returns the leases to list in a heartbeat and records them as outstanding.
   *
   * @param host the receiver, which may be this daemon
   * @param bounds the time by which the lease of an upstream must expire
   * @param requested the requested lease duration for an upstream
   */
  ImmutableList<DispatchLease> issue(
      HostId host,
      ToLongFunction<UpstreamId> bounds,
      Function<UpstreamId, Duration> requested,
      long nowNanos) {
    long base = host.equals(self) ? nowNanos : member(host).answeredAt;
    ImmutableList<DispatchLease> issued = issuableLeases(host, base, bounds, requested, nowNanos);
    issued.forEach(l -> recordIssued(host, l, base));
    reissueOmitted(host, issued);
    return issued;
  }

  private ImmutableList<DispatchLease> issuableLeases(
      HostId host,
      long base,
      ToLongFunction<UpstreamId> bounds,
      Function<UpstreamId, Duration> requested,
      long nowNanos) {
    return choices.entrySet().stream()
        .filter(e -> e.getValue().holder.equals(host))
        .filter(e -> !isHeldByOther(e.getKey(), host, nowNanos))
        .map(e -> lease(e, base, bounds.applyAsLong(e.getKey()), requested.apply(e.getKey())))
        .filter(l -> base + l.remaining().toNanos() > nowNanos)
        .collect(toImmutableList());
  }

  private DispatchLease lease(
      Map.Entry<UpstreamId, DispatcherChoice> entry, long base, long bound, Duration requested) {
    Duration maximum = timings.minusClockMargin(bound - base);
    Duration remaining = requested.compareTo(maximum) < 0 ? requested : maximum;
    DispatcherChoice choice = entry.getValue();
    Optional<DispatchRelease> priorRelease =
        handovers.releaseBefore(entry.getKey(), choice.holder, choice.epoch);
    return new DispatchLease(entry.getKey(), choice.holder, choice.epoch, remaining, priorRelease);
  }

  /**
   * Gives a new epoch to leases that were issued before but are not listed now. The holder releases
   * an omitted lease and reports what it left behind; if the same epoch were issued again, it could
   * send more requests after that report.
   */
  private void reissueOmitted(HostId host, ImmutableList<DispatchLease> issued) {
    ImmutableSet<UpstreamId> listed =
        issued.stream().map(DispatchLease::upstream).collect(toImmutableSet());
    choices.replaceAll(
        (upstream, choice) -> {
          boolean omitted =
              choice.holder.equals(host)
                  && !listed.contains(upstream)
                  && handovers.wasIssued(upstream, host, choice.epoch);
          return omitted ? new DispatcherChoice(host, epochs.next()) : choice;
        });
  }

  private void recordIssued(HostId host, DispatchLease lease, long base) {
    long until = base + timings.plusClockMargin(lease.remaining());
    handovers.onIssued(lease.upstream(), host, lease.epoch());
    member(host)
        .outstanding
        .merge(
            lease.upstream(),
            new OutstandingLease(until, sequence, lease.epoch()),
            (a, b) ->
                new OutstandingLease(Math.max(a.untilNanos, b.untilNanos), b.sequence, b.epoch));
  }

  /**
   * Ends the leases of all other dispatchers, because the upstream has confirmed that it refuses
   * them.
   */
  void onDispatcherConfirmed(UpstreamId upstream, HostId dispatcher) {
    members.forEach(
        (host, member) -> {
          if (!host.equals(dispatcher)) {
            member.outstanding.remove(upstream);
          }
        });
  }

  /** Drops this daemon's own leases for upstreams that it no longer dispatches to. */
  void dropOwnLeases() {
    member(self).outstanding.keySet().removeIf(u -> !dispatcher(u).equals(Optional.of(self)));
  }

  private boolean isHeldByOther(UpstreamId upstream, HostId host, long nowNanos) {
    return members.entrySet().stream()
        .anyMatch(e -> !e.getKey().equals(host) && holds(e.getValue(), upstream, nowNanos));
  }

  private static boolean holds(MemberState member, UpstreamId upstream, long nowNanos) {
    OutstandingLease lease = member.outstanding.get(upstream);
    return lease != null && lease.untilNanos >= nowNanos;
  }

  /**
   * Returns whether every other daemon that may dispatch to an upstream has a value in the given
   * version or a later one.
   */
  boolean allDispatchersHaveVersion(
      UpstreamId upstream, String name, Epoch version, long nowNanos) {
    return members.entrySet().stream()
        .filter(e -> !e.getKey().equals(self) && holds(e.getValue(), upstream, nowNanos))
        .allMatch(e -> !version.isAfter(e.getValue().versions.getOrDefault(name, Epoch.NONE)));
  }

  /** Returns whether a daemon may hold any lease. */
  boolean mayHoldAnyLease(HostId host, long nowNanos) {
    return member(host).outstanding.values().stream().anyMatch(o -> o.untilNanos >= nowNanos);
  }

  private MemberState member(HostId host) {
    return members.computeIfAbsent(host, h -> new MemberState(store));
  }
}
