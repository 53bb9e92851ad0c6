package org.catkinlift.membership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.TreeMultimap;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * Keeps what this daemon knows about other daemons and when it heard of them.
 *
 * <p>Liveness rests on received messages only. The platform's host list adds definitions, and its
 * silence about a host only counts towards forgetting the host. Control thread only.
 */
final class MemberTable {
  /** Four heartbeats may be lost before a daemon is suspected. */
  static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(1);

  /** Covers the failover of a coordinator, so that its loss does not make all members suspects. */
  static final Duration REPORT_VALIDITY = Duration.ofSeconds(3);

  /** The host list lags, so a host stays known for this long after it was last seen anywhere. */
  static final Duration RETENTION_PERIOD = Duration.ofMinutes(10);

  private final HostDefinition self;
  private final Map<HostId, HostDefinition> definitions = new HashMap<>();
  private final TreeMultimap<CellId, HostId> byCell = TreeMultimap.create();
  private Optional<ImmutableSet<HostDefinition>> known = Optional.empty();
  private final Map<HostId, Long> lastMessageNanos = new HashMap<>();
  private final Map<HostId, Long> lastListedNanos = new HashMap<>();
  private final Set<HostId> left = new HashSet<>();
  private final Set<HostId> helloSenders = new HashSet<>();
  private ImmutableSet<HostId> reportedLive = ImmutableSet.of();
  private Optional<HostId> coordinator = Optional.empty();
  private long coordinatorTerm;
  private long lastHeartbeatNanos;
  private boolean selfLeaving;

  MemberTable(HostDefinition self) {
    this.self = self;
    put(self);
  }

  private void put(HostDefinition host) {
    HostDefinition before = definitions.put(host.id(), host);
    if (before != null) {
      byCell.remove(before.cell(), before.id());
    }
    byCell.put(host.cell(), host.id());
    known = Optional.empty();
  }

  /** Adds a definition that another daemon or the host list named. Returns true if it is new. */
  boolean addIfAbsent(HostDefinition host, long nowNanos) {
    if (host.id().equals(self.id())) {
      return false;
    }
    boolean isNew = !definitions.containsKey(host.id());
    if (isNew) {
      put(host);
      lastListedNanos.put(host.id(), nowNanos);
    }
    return isNew;
  }

  /** Takes over a definition from the host itself, which knows its own address best. */
  boolean addOrUpdate(HostDefinition host, long nowNanos) {
    boolean isNew = addIfAbsent(host, nowNanos);
    if (!host.id().equals(self.id()) && !host.equals(definitions.get(host.id()))) {
      put(host);
    }
    return isNew;
  }

  /** Notes that the host list names a host. */
  void recordListed(HostId host, long nowNanos) {
    lastListedNanos.put(host, nowNanos);
  }

  /** Notes a message from a host. A host that left by plan stays out until it starts again. */
  void recordMessage(HostId host, long nowNanos) {
    lastMessageNanos.put(host, nowNanos);
  }

  /** Notes that a host introduced itself, which one that leaves does not do any more. */
  void recordStart(HostId host) {
    left.remove(host);
  }

  void recordHello(HostId host) {
    helloSenders.add(host);
  }

  /** Tells whether a host has greeted this daemon, so that it knows this daemon's definition. */
  boolean hasSentHello(HostId host) {
    return helloSenders.contains(host);
  }

  /** Notes that a host leaves by plan. Returns false if that was known. */
  boolean recordLeaving(HostId host) {
    return left.add(host);
  }

  boolean hasLeft(HostId host) {
    return left.contains(host);
  }

  void recordSelfLeaving() {
    selfLeaving = true;
  }

  /** Notes a heartbeat of the coordinator of this daemon's cell; ignores replaced coordinators. */
  void recordHeartbeat(HostId from, long term, long nowNanos) {
    if (term < coordinatorTerm) {
      return;
    }
    coordinatorTerm = term;
    coordinator = Optional.of(from);
    lastHeartbeatNanos = nowNanos;
  }

  /** Takes over the live members as the coordinator sees them; ignores others' views. */
  void recordLiveReport(HostId from, ImmutableSet<HostId> members) {
    if (coordinator.equals(Optional.of(from))) {
      reportedLive = members;
    }
  }

  /** Removes hosts that neither the host list nor a message has named for long. */
  ImmutableSet<HostId> removeExpired(long nowNanos) {
    ImmutableSet<HostId> expired =
        definitions.keySet().stream()
            .filter(h -> !h.equals(self.id()) && isExpired(h, nowNanos))
            .collect(toImmutableSet());
    expired.forEach(this::remove);
    return expired;
  }

  private boolean isExpired(HostId host, long nowNanos) {
    return !isWithin(lastListedNanos.get(host), RETENTION_PERIOD, nowNanos)
        && !isWithin(lastMessageNanos.get(host), RETENTION_PERIOD, nowNanos);
  }

  /** Removes a host that a cell mate has forgotten, unless this daemon hears it. */
  void removeIfSilent(HostId host, long nowNanos) {
    if (!host.equals(self.id()) && !isResponsive(host, nowNanos)) {
      remove(host);
    }
  }

  private void remove(HostId host) {
    HostDefinition removed = definitions.remove(host);
    if (removed != null) {
      byCell.remove(removed.cell(), host);
      known = Optional.empty();
    }
    lastMessageNanos.remove(host);
    lastListedNanos.remove(host);
    left.remove(host);
    helloSenders.remove(host);
  }

  boolean isResponsive(HostId host, long nowNanos) {
    return isWithin(lastMessageNanos.get(host), SUSPICION_TIMEOUT, nowNanos);
  }

  ImmutableSet<HostId> live(CellId cell, long nowNanos) {
    return byCell.get(cell).stream().filter(h -> isLive(h, nowNanos)).collect(toImmutableSet());
  }

  private boolean isLive(HostId host, long nowNanos) {
    if (host.equals(self.id())) {
      return !selfLeaving;
    }
    return !left.contains(host) && (isResponsive(host, nowNanos) || isReportedLive(host, nowNanos));
  }

  private boolean isReportedLive(HostId host, long nowNanos) {
    return reportedLive.contains(host) && isWithin(lastHeartbeatNanos, REPORT_VALIDITY, nowNanos);
  }

  private static boolean isWithin(Long sinceNanos, Duration limit, long nowNanos) {
    return sinceNanos != null && nowNanos - sinceNanos <= limit.toNanos();
  }

  Optional<HostDefinition> find(HostId host) {
    return Optional.ofNullable(definitions.get(host));
  }

  /** Returns the other known hosts of this daemon's cell, ordered by id. */
  ImmutableSet<HostId> cellPeers() {
    return byCell.get(self.cell()).stream()
        .filter(h -> !h.equals(self.id()))
        .collect(toImmutableSet());
  }

  /** Returns the known hosts without this daemon's own. */
  ImmutableSet<HostDefinition> others() {
    return known().stream().filter(h -> !h.id().equals(self.id())).collect(toImmutableSet());
  }

  /** Returns all known hosts, ordered by cell and id; built again only after a change. */
  ImmutableSet<HostDefinition> known() {
    if (known.isEmpty()) {
      known = Optional.of(byCell.values().stream().map(definitions::get).collect(toImmutableSet()));
    }
    return known.get();
  }
}
