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
 * Holds the takeover role of this daemon's own cell while this daemon coordinates the cell.
 *
 * <p>The voters are one coordinator of each other availability zone. A voter is replaced only by
 * another coordinator of the same zone: if voters of a cut-off zone were removed, no daemon could
 * take over this cell later.
 */
final class LocalTakeoverRole {
  static final String PREFIX = "takeover/";

  private static final long READ_INTERVAL_NANOS = 5_000_000_000L;

  private final CellContext context;
  private final RoleManager manager;
  private ImmutableMap<ZoneName, HostId> candidates = ImmutableMap.of();
  private boolean active;
  private long takeoverRowsCall = -1;
  private long takeoverRowsReadAt = Long.MIN_VALUE / 4;

  LocalTakeoverRole(CellContext context, PromiseRegistry promises) {
    this.context = context;
    var authority =
        new RoleAuthority(
            PREFIX + context.cell(), context.host(), context.timings(), context.ids(), promises);
    this.manager = new RoleManager(context.host(), context.timings(), authority, context.ids());
  }

  RoleAuthority authority() {
    return manager.authority();
  }

  /**
   * Acquires the role if necessary and maintains it; called in each heartbeat round while this
   * daemon coordinates the cell.
   */
  void runRound(long nowNanos, Outbox out) {
    manager.tick(nowNanos, out);
    readTakeoverRows(nowNanos, out);
    if (!authority().isHolder()) {
      acquire(nowNanos, out);
      return;
    }
    ImmutableSet<HostId> joining = ImmutableSet.copyOf(candidates.values());
    manager.requestPromises(joining, context.timings().promise(), nowNanos, out);
    manager.maintain(desiredVoters(nowNanos), nowNanos, out);
  }

  /**
   * Acquires the role. The coordinator of the cell may do so at any time, because other holders use
   * the role only for one transaction, which is conditional on the same row. The home maps are read
   * again afterwards.
   */
  private void acquire(long nowNanos, Outbox out) {
    if (manager.isBusy() || !authority().isObserved()) {
      return;
    }
    ImmutableSet<HostId> others =
        authority().voters().stream().filter(v -> !isOfOwnZone(v)).collect(toImmutableSet());
    manager.acquire(others, nowNanos, out);
  }

  private boolean isOfOwnZone(HostId host) {
    return zoneOf(host).filter(context.self().zone()::equals).isPresent();
  }

  private Optional<ZoneName> zoneOf(HostId host) {
    return context.members().find(host).map(HostDefinition::zone);
  }

  private ImmutableSet<HostId> desiredVoters(long nowNanos) {
    Map<ZoneName, HostId> desired = new TreeMap<>(Comparator.comparing(ZoneName::value));
    var votersOfUnknownZone = ImmutableSet.<HostId>builder();
    for (HostId voter : authority().otherVoters()) {
      Optional<ZoneName> zone = zoneOf(voter);
      zone.ifPresentOrElse(z -> desired.put(z, voter), () -> votersOfUnknownZone.add(voter));
    }
    candidates.forEach(
        (zone, host) -> {
          if (authority().hasPromised(host, nowNanos)) {
            desired.put(zone, host);
          }
        });
    return votersOfUnknownZone.addAll(desired.values()).build();
  }

  private void readTakeoverRows(long nowNanos, Outbox out) {
    if (takeoverRowsCall < 0 && nowNanos - takeoverRowsReadAt >= READ_INTERVAL_NANOS) {
      takeoverRowsCall = out.callPlatform(new PlatformRequest.ReadRows(PREFIX));
      takeoverRowsReadAt = nowNanos;
    }
  }

  void onPromise(HostId from, Promise promise, long nowNanos) {
    authority().onPromise(from, promise, nowNanos);
  }

  void onReply(long call, Reply reply, long nowNanos, Outbox out) {
    manager.onReply(call, reply, nowNanos, out);
    if (call != takeoverRowsCall) {
      return;
    }
    takeoverRowsCall = -1;
    if (reply instanceof Reply.Rows rows) {
      observe(rows.rows(), nowNanos);
      acquireIfActive(nowNanos, out);
    }
  }

  private void acquireIfActive(long nowNanos, Outbox out) {
    if (active && !authority().isHolder()) {
      acquire(nowNanos, out);
    }
  }

  /** Sets whether this daemon coordinates the cell with authority. */
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
