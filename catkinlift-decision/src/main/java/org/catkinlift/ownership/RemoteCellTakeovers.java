package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Promise;
import org.catkinlift.control.PeerMessage.PromiseRequest;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.control.RowValue.HomeRow;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.placement.HomeMapPlanner;

/**
 * Takes over the slots of services with the {@code lapse} rule from cells of other availability
 * zones that are cut off or lost.
 *
 * <p>One transaction acquires the role {@code takeover/<cell>} and assigns new home cells to the
 * slots.
 */
final class RemoteCellTakeovers {
  /**
   * The time left to the voters of the same cell to replace a lost coordinator, so that the loss of
   * one daemon does not move all slots of its cell.
   */
  private static final Duration IN_CELL_TAKEOVER_TIME = Duration.ofMillis(500);

  private static final long MAX_HOME_ROWS_AGE_NANOS = 1_000_000_000L;

  private final CellContext context;
  private final PromiseRegistry promises;
  private final RoleAcquisitionRule acquisitionRule;
  private final Map<CellId, RoleManager> managers = new TreeMap<>();
  private ImmutableList<Row> homeRows = ImmutableList.of();
  private long homesCall = -1;
  private long homesReadAt = Long.MIN_VALUE / 4;

  RemoteCellTakeovers(CellContext context, PromiseRegistry promises) {
    this.context = context;
    this.promises = promises;
    this.acquisitionRule = new RoleAcquisitionRule(context.host(), context.timings(), promises);
  }

  /**
   * Answers a promise request for the takeover role of another cell; empty if the request is for
   * another role.
   */
  Optional<Promise> onPromiseRequest(PromiseRequest request, long nowNanos, Outbox out) {
    if (!request.row().startsWith(LocalTakeoverRole.PREFIX)) {
      return Optional.empty();
    }
    var cell = CellId.of(request.row().substring(LocalTakeoverRole.PREFIX.length()));
    RoleManager manager = manager(cell);
    if (manager.authority().row().isEmpty()) {
      manager.read(out);
    }
    return Optional.of(promises.promise(request, context.platform().isReachable(), nowNanos));
  }

  /**
   * Checks the remote cells; called in each heartbeat round while this daemon coordinates its cell
   * with authority.
   */
  void runRound(long nowNanos, Outbox out) {
    managers.values().forEach(m -> m.tick(nowNanos, out));
    for (CellId cell : suspectCells(nowNanos)) {
      RoleManager manager = manager(cell);
      if (manager.isBusy()) {
        continue;
      }
      if (mayTakeOver(cell, manager, nowNanos)) {
        takeOverOrReadHomes(cell, manager, nowNanos, out);
        continue;
      }
      manager.read(out);
    }
  }

  /**
   * Returns the cells of other zones that have slots under the lapse rule and whose coordinator
   * does not renew its promises.
   */
  private ImmutableSet<CellId> suspectCells(long nowNanos) {
    return lapseServices().stream()
        .flatMap(s -> s.upstreams().stream())
        .filter(u -> !u.zone().equals(context.self().zone()))
        .map(u -> u.cell())
        .filter(c -> promises.expiresSoon(LocalTakeoverRole.PREFIX + c, nowNanos))
        .filter(this::hasSlots)
        .collect(toImmutableSet());
  }

  private boolean hasSlots(CellId cell) {
    return lapseServices().stream()
        .flatMap(s -> context.store().homeMap(s.name()).stream())
        .anyMatch(h -> h.homes().contains(cell));
  }

  private ImmutableList<ServiceDefinition> lapseServices() {
    return context.store().configuration().services().values().stream()
        .filter(ServiceRules::isLapse)
        .collect(ImmutableList.toImmutableList());
  }

  private boolean mayTakeOver(CellId cell, RoleManager manager, long nowNanos) {
    long grace = IN_CELL_TAKEOVER_TIME.toNanos() + longestStartBound();
    return manager.authority().row().isPresent()
        && context.members().live(cell, nowNanos).isEmpty()
        && promises.allowsAcquisition(LocalTakeoverRole.PREFIX + cell, nowNanos - grace)
        && nowNanos - manager.authority().unchangedSince()
            > context.timings().plusClockMargin(context.timings().platformLease()) + grace
        && acquisitionRule.mayAcquire(manager.authority(), Duration.ZERO, nowNanos);
  }

  /** Returns how long after the expiry of its leases requests of the lost cell may still start. */
  private long longestStartBound() {
    return lapseServices().stream()
        .flatMap(s -> ServiceRules.startBound(s).stream())
        .mapToLong(context.timings()::plusClockMargin)
        .max()
        .orElse(0);
  }

  private void takeOverOrReadHomes(CellId cell, RoleManager manager, long nowNanos, Outbox out) {
    if (nowNanos - homesReadAt > MAX_HOME_ROWS_AGE_NANOS || homeRows.isEmpty()) {
      if (homesCall < 0) {
        homesCall = out.callPlatform(new PlatformRequest.ReadRows(HomeMap.PREFIX));
      }
      return;
    }
    var conditions = ImmutableMap.<String, Long>builder();
    var writes = ImmutableMap.<String, RowValue>builder();
    for (ServiceDefinition service : lapseServices()) {
      rowWithNewHomes(service, cell, nowNanos)
          .ifPresent(
              row -> {
                conditions.put(row.name(), row.version());
                writes.put(row.name(), row.value());
              });
    }
    homesReadAt = Long.MIN_VALUE / 4;
    out.log(
        EventCode.COORDINATOR_ROLE_TAKEN,
        "row",
        manager.authority().rowName(),
        "reason",
        "cell does not answer");
    manager.acquire(
        manager.authority().otherVoters(),
        conditions.buildOrThrow(),
        writes.buildOrThrow(),
        nowNanos,
        out);
  }

  private Optional<Row> rowWithNewHomes(ServiceDefinition service, CellId lost, long nowNanos) {
    return homeRows.stream()
        .filter(r -> r.name().equals(HomeMap.nameOf(service.name())))
        .findFirst()
        .map(r -> withoutCell(r, service, lost, nowNanos))
        .filter(r -> !homeRows.contains(r));
  }

  private Row withoutCell(Row row, ServiceDefinition service, CellId lost, long nowNanos) {
    HomeMap current = ((HomeRow) row.value()).homes();
    Map<CellId, Double> weights = new TreeMap<>();
    service.upstreams().stream()
        .filter(context.store().configuration()::admits)
        .filter(u -> !u.cell().equals(lost))
        .filter(u -> isAlive(u.cell(), nowNanos))
        .forEach(u -> weights.merge(u.cell(), (double) u.concurrencyLimit(), Double::sum));
    HomeMap planned = HomeMapPlanner.change(current, ImmutableMap.copyOf(weights), 0);
    var homes = ImmutableList.<CellId>builder();
    for (int slot = 0; slot < current.homes().size(); slot++) {
      CellId home = current.homes().get(slot);
      homes.add(home.equals(lost) ? planned.homes().get(slot) : home);
    }
    var next = new HomeMap(current.service(), current.version() + 1, homes.build());
    boolean same = next.homes().equals(current.homes());
    return same ? row : new Row(row.name(), row.version(), row.requestId(), new HomeRow(next));
  }

  private boolean isAlive(CellId cell, long nowNanos) {
    return cell.equals(context.cell()) || !context.members().live(cell, nowNanos).isEmpty();
  }

  void onReply(long call, Reply reply, long nowNanos, Outbox out) {
    managers.values().forEach(m -> onReply(m, call, reply, nowNanos, out));
    if (reply instanceof Reply.Rows rows) {
      observe(rows.rows(), nowNanos);
    }
    if (call != homesCall) {
      return;
    }
    homesCall = -1;
    if (reply instanceof Reply.Rows rows) {
      homeRows = rows.rows();
      homesReadAt = nowNanos;
      rows.rows().forEach(r -> offerHomeMap(r, out));
    }
  }

  /**
   * Observes the takeover rows of any read, because the time for which a row is unchanged starts
   * with its first read.
   */
  private void observe(ImmutableList<Row> rows, long nowNanos) {
    for (Row row : rows) {
      if (row.name().startsWith(LocalTakeoverRole.PREFIX)) {
        var cell = CellId.of(row.name().substring(LocalTakeoverRole.PREFIX.length()));
        manager(cell).authority().observe(Optional.of(row), nowNanos);
      }
    }
  }

  /** After the role has been acquired, the new home maps are read, so that they reach all cells. */
  private void onReply(RoleManager manager, long call, Reply reply, long nowNanos, Outbox out) {
    boolean wasHolder = manager.authority().isHolder();
    manager.onReply(call, reply, nowNanos, out);
    if (!wasHolder && manager.authority().isHolder() && homesCall < 0) {
      homesCall = out.callPlatform(new PlatformRequest.ReadRows(HomeMap.PREFIX));
    }
  }

  private void offerHomeMap(Row row, Outbox out) {
    if (row.value() instanceof HomeRow home && context.store().offer(home.homes())) {
      out.markChanged();
    }
  }

  private RoleManager manager(CellId cell) {
    return managers.computeIfAbsent(cell, this::newManager);
  }

  private RoleManager newManager(CellId cell) {
    var authority =
        new RoleAuthority(
            LocalTakeoverRole.PREFIX + cell,
            context.host(),
            context.timings(),
            context.ids(),
            promises);
    return new RoleManager(context.host(), context.timings(), authority, context.ids());
  }
}
