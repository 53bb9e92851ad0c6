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
 * Takes over the {@code lapse} slots of cells of other availability zones that are cut off or lost.
 *
 * <p>One transaction takes the role {@code takeover/<cell>} and gives the slots new homes.
 */
final class ForeignTakeovers {
  /**
   * Time for a voter of the same cell to replace a lost coordinator first, so that the loss of one
   * daemon does not move the slots of its whole cell.
   */
  private static final Duration IN_CELL_FIRST = Duration.ofMillis(500);

  private static final long FRESH_NANOS = 1_000_000_000L;

  private final CellContext context;
  private final PromiseBook book;
  private final TakeoverRule rule;
  private final Map<CellId, RoleKeeper> keepers = new TreeMap<>();
  private ImmutableList<Row> homeRows = ImmutableList.of();
  private long homesCall = -1;
  private long homesReadAt = Long.MIN_VALUE / 4;

  ForeignTakeovers(CellContext context, PromiseBook book) {
    this.context = context;
    this.book = book;
    this.rule = new TakeoverRule(context.host(), context.timings(), book);
  }

  /** Answers a promise request for the takeover role of another cell, if it is one. */
  Optional<Promise> promise(PromiseRequest request, long nowNanos, Outbox out) {
    if (!request.row().startsWith(OwnTakeoverRole.PREFIX)) {
      return Optional.empty();
    }
    var cell = CellId.of(request.row().substring(OwnTakeoverRole.PREFIX.length()));
    RoleKeeper keeper = keeper(cell);
    if (keeper.authority().row().isEmpty()) {
      keeper.read(out);
    }
    return Optional.of(book.promise(request, context.platform().isReachable(), nowNanos));
  }

  /** Called in each round while this daemon coordinates its cell with authority. */
  void round(long nowNanos, Outbox out) {
    keepers.values().forEach(k -> k.tick(nowNanos, out));
    for (CellId cell : suspects(nowNanos)) {
      RoleKeeper keeper = keeper(cell);
      if (keeper.isBusy()) {
        continue;
      }
      if (mayTake(cell, keeper, nowNanos)) {
        takeOrReadHomes(cell, keeper, nowNanos, out);
        continue;
      }
      keeper.read(out);
    }
  }

  /** The foreign cells with lapse slots whose coordinator is silent. */
  private ImmutableSet<CellId> suspects(long nowNanos) {
    return lapseServices().stream()
        .flatMap(s -> s.upstreams().stream())
        .filter(u -> !u.zone().equals(context.self().zone()))
        .map(u -> u.cell())
        .filter(c -> book.endsSoon(OwnTakeoverRole.PREFIX + c, nowNanos))
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

  private boolean mayTake(CellId cell, RoleKeeper keeper, long nowNanos) {
    long grace = IN_CELL_FIRST.toNanos() + longestStartBound();
    return keeper.authority().row().isPresent()
        && context.members().live(cell, nowNanos).isEmpty()
        && book.isFree(OwnTakeoverRole.PREFIX + cell, nowNanos - grace)
        && nowNanos - keeper.authority().unchangedSince()
            > context.timings().withMargin(context.timings().platformLease()) + grace
        && rule.mayTake(keeper.authority(), Duration.ZERO, nowNanos);
  }

  /** Requests of the lost cell may start this long after its leases have ended. */
  private long longestStartBound() {
    return lapseServices().stream()
        .flatMap(s -> ServiceRules.startBound(s).stream())
        .mapToLong(context.timings()::withMargin)
        .max()
        .orElse(0);
  }

  private void takeOrReadHomes(CellId cell, RoleKeeper keeper, long nowNanos, Outbox out) {
    if (nowNanos - homesReadAt > FRESH_NANOS || homeRows.isEmpty()) {
      if (homesCall < 0) {
        homesCall = out.platform(new PlatformRequest.ReadRows(HomeMap.PREFIX));
      }
      return;
    }
    var conditions = ImmutableMap.<String, Long>builder();
    var writes = ImmutableMap.<String, RowValue>builder();
    for (ServiceDefinition service : lapseServices()) {
      newHomes(service, cell, nowNanos)
          .ifPresent(
              row -> {
                conditions.put(row.name(), row.version());
                writes.put(row.name(), row.value());
              });
    }
    homesReadAt = Long.MIN_VALUE / 4;
    out.log(EventCode.ROLE_TAKEN, "row", keeper.authority().rowName(), "reason", "cell is silent");
    keeper.take(
        keeper.authority().otherVoters(),
        conditions.buildOrThrow(),
        writes.buildOrThrow(),
        nowNanos,
        out);
  }

  private Optional<Row> newHomes(ServiceDefinition service, CellId lost, long nowNanos) {
    return homeRows.stream()
        .filter(r -> r.name().equals(HomeMap.nameOf(service.name())))
        .findFirst()
        .map(r -> withoutCell(r, service, lost, nowNanos))
        .filter(r -> !homeRows.contains(r));
  }

  private Row withoutCell(Row row, ServiceDefinition service, CellId lost, long nowNanos) {
    HomeMap present = ((HomeRow) row.value()).homes();
    Map<CellId, Double> weights = new TreeMap<>();
    service.upstreams().stream()
        .filter(context.store().configuration()::admits)
        .filter(u -> !u.cell().equals(lost))
        .filter(u -> isAlive(u.cell(), nowNanos))
        .forEach(u -> weights.merge(u.cell(), (double) u.concurrencyLimit(), Double::sum));
    HomeMap planned = HomeMapPlanner.change(present, ImmutableMap.copyOf(weights), 0);
    var homes = ImmutableList.<CellId>builder();
    for (int slot = 0; slot < present.homes().size(); slot++) {
      CellId home = present.homes().get(slot);
      homes.add(home.equals(lost) ? planned.homes().get(slot) : home);
    }
    var next = new HomeMap(present.service(), present.version() + 1, homes.build());
    boolean same = next.homes().equals(present.homes());
    return same ? row : new Row(row.name(), row.version(), row.requestId(), new HomeRow(next));
  }

  private boolean isAlive(CellId cell, long nowNanos) {
    return cell.equals(context.cell()) || !context.members().live(cell, nowNanos).isEmpty();
  }

  void replied(long call, Reply reply, long nowNanos, Outbox out) {
    keepers.values().forEach(k -> replied(k, call, reply, nowNanos, out));
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
      rows.rows().forEach(r -> offer(r, out));
    }
  }

  /** Rows that were read for any reason start the time for which a row is unchanged. */
  private void observe(ImmutableList<Row> rows, long nowNanos) {
    for (Row row : rows) {
      if (row.name().startsWith(OwnTakeoverRole.PREFIX)) {
        var cell = CellId.of(row.name().substring(OwnTakeoverRole.PREFIX.length()));
        keeper(cell).authority().observe(Optional.of(row), nowNanos);
      }
    }
  }

  /** After the role is taken, the new home maps are read so that all cells learn of them. */
  private void replied(RoleKeeper keeper, long call, Reply reply, long nowNanos, Outbox out) {
    boolean before = keeper.authority().isHolder();
    keeper.replied(call, reply, nowNanos, out);
    if (!before && keeper.authority().isHolder() && homesCall < 0) {
      homesCall = out.platform(new PlatformRequest.ReadRows(HomeMap.PREFIX));
    }
  }

  private void offer(Row row, Outbox out) {
    if (row.value() instanceof HomeRow home && context.store().offer(home.homes())) {
      out.markChanged();
    }
  }

  private RoleKeeper keeper(CellId cell) {
    return keepers.computeIfAbsent(cell, this::newKeeper);
  }

  private RoleKeeper newKeeper(CellId cell) {
    var authority =
        new CellAuthority(
            OwnTakeoverRole.PREFIX + cell, context.host(), context.timings(), context.ids(), book);
    return new RoleKeeper(context.host(), context.timings(), authority, context.ids());
  }
}
