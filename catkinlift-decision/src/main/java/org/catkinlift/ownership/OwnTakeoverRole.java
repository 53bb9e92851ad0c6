package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Promise;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue.CellRow;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ZoneName;

/**
 * Holds the takeover role of this daemon's own cell while it coordinates the cell.
 *
 * <p>The voters are one coordinator of each other availability zone. A voter is only ever replaced
 * by another coordinator of its zone: if voters of a cut-off zone were removed, nobody could take
 * over this cell later.
 */
final class OwnTakeoverRole {
  static final String PREFIX = "takeover/";

  private static final long PEERS_READ_INTERVAL_NANOS = 5_000_000_000L;

  private final CellContext context;
  private final RoleKeeper keeper;
  private ImmutableMap<ZoneName, HostId> candidates = ImmutableMap.of();
  private boolean active;
  private long peersCall = -1;
  private long peersReadAt = Long.MIN_VALUE / 4;

  OwnTakeoverRole(CellContext context, PromiseBook book) {
    this.context = context;
    var authority =
        new CellAuthority(
            PREFIX + context.cell(), context.host(), context.timings(), context.ids(), book);
    this.keeper = new RoleKeeper(context.host(), context.timings(), authority, context.ids());
  }

  CellAuthority authority() {
    return keeper.authority();
  }

  /** Takes the role if needed and keeps it; called in each round while this daemon coordinates. */
  void round(long nowNanos, Outbox out) {
    keeper.tick(nowNanos, out);
    readPeers(nowNanos, out);
    if (!authority().isHolder()) {
      take(nowNanos, out);
      return;
    }
    ImmutableSet<HostId> joining = ImmutableSet.copyOf(candidates.values());
    keeper.requestPromises(joining, context.timings().promise(), nowNanos, out);
    keeper.keep(wantedVoters(nowNanos), nowNanos, out);
  }

  /**
   * The coordinator of a cell may always take the role back: others use it only for one
   * transaction, which is conditional on the same row. It reads the home maps again afterwards.
   */
  private void take(long nowNanos, Outbox out) {
    if (keeper.isBusy() || !authority().isKnown()) {
      return;
    }
    ImmutableSet<HostId> others =
        authority().voters().stream().filter(v -> !isOfOwnZone(v)).collect(toImmutableSet());
    keeper.take(others, nowNanos, out);
  }

  private boolean isOfOwnZone(HostId host) {
    return zoneOf(host).filter(context.self().zone()::equals).isPresent();
  }

  private Optional<ZoneName> zoneOf(HostId host) {
    return context.members().find(host).map(HostDefinition::zone);
  }

  private ImmutableSet<HostId> wantedVoters(long nowNanos) {
    Map<ZoneName, HostId> wanted = new TreeMap<>(Comparator.comparing(ZoneName::value));
    var unknown = ImmutableSet.<HostId>builder();
    for (HostId voter : authority().otherVoters()) {
      Optional<ZoneName> zone = zoneOf(voter);
      zone.ifPresentOrElse(z -> wanted.put(z, voter), () -> unknown.add(voter));
    }
    candidates.forEach(
        (zone, host) -> {
          if (authority().hasPromised(host, nowNanos)) {
            wanted.put(zone, host);
          }
        });
    return unknown.addAll(wanted.values()).build();
  }

  private void readPeers(long nowNanos, Outbox out) {
    if (peersCall < 0 && nowNanos - peersReadAt >= PEERS_READ_INTERVAL_NANOS) {
      peersCall = out.platform(new PlatformRequest.ReadRows(PREFIX));
      peersReadAt = nowNanos;
    }
  }

  void promised(HostId from, Promise promise, long nowNanos) {
    authority().promised(from, promise, nowNanos);
  }

  void replied(long call, Reply reply, long nowNanos, Outbox out) {
    keeper.replied(call, reply, nowNanos, out);
    if (call != peersCall) {
      return;
    }
    peersCall = -1;
    if (reply instanceof Reply.Rows rows) {
      observe(rows.rows(), nowNanos);
      takeIfActive(nowNanos, out);
    }
  }

  private void takeIfActive(long nowNanos, Outbox out) {
    if (active && !authority().isHolder()) {
      take(nowNanos, out);
    }
  }

  /** Notes whether this daemon coordinates the cell with authority. */
  void setActive(boolean active) {
    this.active = active;
  }

  private void observe(ImmutableList<Row> rows, long nowNanos) {
    Optional<Row> own =
        rows.stream().filter(r -> r.name().equals(authority().rowName())).findFirst();
    authority().observe(own, nowNanos);
    Map<ZoneName, HostId> found = new TreeMap<>(Comparator.comparing(ZoneName::value));
    for (Row row : rows) {
      HostId holder = ((CellRow) row.value()).holder();
      zoneOf(holder)
          .filter(z -> !z.equals(context.self().zone()))
          .ifPresent(z -> found.putIfAbsent(z, holder));
    }
    candidates = ImmutableMap.copyOf(found);
  }

  void resign(long nowNanos, Outbox out) {
    if (authority().isHolder()) {
      authority().resign(nowNanos, out);
    }
  }
}
