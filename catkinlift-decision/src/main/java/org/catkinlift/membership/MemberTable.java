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
 * The known hosts and the times when this daemon last received a message from them.
 *
 * <p>Liveness depends on received messages only. The platform's host list adds definitions; the
 * absence of a host from the list never makes it suspected, but counts towards its removal.
 * Confined to the control thread.
 */
final class MemberTable {
  /** Four heartbeats in a row may be lost before a daemon is suspected. */
  static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(1);

  /**
   * A report stays valid during a coordinator failover, so that the loss of the coordinator does
   * not make all members suspected.
   */
  static final Duration REPORT_VALIDITY = Duration.ofSeconds(3);

  /**
   * A host stays known for this long after its last message or listing, because the host list lags.
   */
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

  /** Adds a definition from another daemon or the host list. Returns whether the host is new. */
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

  /**
   * Adds or replaces a definition received from the host itself, which is authoritative for its own
   * address. Returns whether the host is new.
   */
  boolean addOrUpdate(HostDefinition host, long nowNanos) {
    boolean isNew = addIfAbsent(host, nowNanos);
    if (!host.id().equals(self.id()) && !host.equals(definitions.get(host.id()))) {
      put(host);
    }
    return isNew;
  }

  /** Records that the host list contains a host. */
  void recordListed(HostId host, long nowNanos) {
    lastListedNanos.put(host, nowNanos);
  }

  /**
   * Records a message from a host. A host that announced its shutdown is not live again until it
   * restarts.
   */
  void recordMessage(HostId host, long nowNanos) {
    lastMessageNanos.put(host, nowNanos);
  }

  /** Records a hello that wants a reply, which a host that is shutting down no longer sends. */
  void recordStart(HostId host) {
    left.remove(host);
  }

  void recordHello(HostId host) {
    helloSenders.add(host);
  }

  /**
   * Returns whether a host has sent a hello to this daemon, and so knows this daemon's definition.
   */
  boolean hasSentHello(HostId host) {
    return helloSenders.contains(host);
  }

  /** Records that a host announced its shutdown. Returns false if that was already known. */
  boolean recordLeaving(HostId host) {
    return left.add(host);
  }

  boolean hasLeft(HostId host) {
    return left.contains(host);
  }

  void recordSelfLeaving() {
    selfLeaving = true;
  }

  /**
   * Records a heartbeat from the coordinator of this cell; ignores coordinators of earlier terms.
   */
  void recordHeartbeat(HostId from, long term, long nowNanos) {
    if (term < coordinatorTerm) {
      return;
    }
    coordinatorTerm = term;
    coordinator = Optional.of(from);
    lastHeartbeatNanos = nowNanos;
  }

  /** Records a live member report if it is from the current coordinator. */
  void recordLiveReport(HostId from, ImmutableSet<HostId> members) {
    if (coordinator.equals(Optional.of(from))) {
      reportedLive = members;
    }
  }

  /**
   * Removes hosts that have neither been listed nor sent a message within the retention period.
   * Returns them.
   */
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

  /**
   * Removes a host that a cell peer has removed, unless this daemon still receives its messages.
   */
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

  /** Returns the other known hosts of this cell, ordered by id. */
  ImmutableSet<HostId> cellPeers() {
    return byCell.get(self.cell()).stream()
        .filter(h -> !h.equals(self.id()))
        .collect(toImmutableSet());
  }

  /** Returns all known hosts except this one. */
  ImmutableSet<HostDefinition> others() {
    return known().stream().filter(h -> !h.id().equals(self.id())).collect(toImmutableSet());
  }

  /** Returns all known hosts, ordered by cell and id. The set is cached until the next change. */
  ImmutableSet<HostDefinition> known() {
    if (known.isEmpty()) {
      known = Optional.of(byCell.values().stream().map(definitions::get).collect(toImmutableSet()));
    }
    return known.get();
  }
}
