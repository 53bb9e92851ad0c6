package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue.HomeRow;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.placement.CellBalanceInput;
import org.catkinlift.placement.CellBalancePlanner;
import org.catkinlift.placement.HomeMapPlanner;
import org.catkinlift.placement.PlacementPlanner;

/**
 * Creates the home map of a service and moves slots of this cell to other cells.
 *
 * <p>A slot moves only after its owner has released it. The new home is then written conditionally,
 * and the other cell assigns an owner.
 */
final class HomeMapUpdater {
  /** The time between two budgeted changes, the same as for moves within a cell. */
  private static final Duration PLAN_INTERVAL = Duration.ofSeconds(30);

  private final CellContext context;
  private final ServiceDefinition service;
  private final RowWriter writer;
  private final CellLoads cellLoads;
  private final LongFunction<ImmutableMap<Integer, Double>> slotLoads;
  private final Map<Integer, CellId> leavingSlots = new TreeMap<>();
  private final Map<CellId, Long> lostSince = new HashMap<>();
  private Optional<Row> row = Optional.empty();
  private boolean loaded;
  private long plannedAt = Long.MIN_VALUE / 4;

  /**
   * Creates the updater of one service.
   *
   * @param cellLoads the load reports of all cells
   * @param slotLoads returns the load of each slot of this cell that may be moved at the given time
   */
  HomeMapUpdater(
      CellContext context,
      ServiceDefinition service,
      CellLoads cellLoads,
      LongFunction<ImmutableMap<Integer, Double>> slotLoads) {
    this.cellLoads = cellLoads;
    this.slotLoads = slotLoads;
    this.context = context;
    this.service = service;
    this.writer = new RowWriter(HomeMap.nameOf(service.name()), context.ids());
  }

  boolean isLoaded() {
    return loaded;
  }

  void requireReload() {
    loaded = false;
  }

  void read(Outbox out) {
    writer.read(out);
  }

  void tick(long nowNanos, Outbox out) {
    writer.tick(nowNanos, out);
  }

  /** Returns the slots that will move to another cell and must be released first. */
  ImmutableSet<Integer> leavingSlots() {
    return ImmutableSet.copyOf(leavingSlots.keySet());
  }

  boolean isIdle() {
    return leavingSlots.isEmpty() && !writer.isBusy();
  }

  void onReply(long call, Reply reply, long nowNanos, Outbox out) {
    if (!writer.isOwnCall(call)) {
      return;
    }
    Optional<RowWriter.Result> result = writer.onReply(reply, nowNanos, out);
    if (result.isEmpty()) {
      return;
    }
    loaded = true;
    row = result.get().row();
    storedHomeMap().ifPresent(homes -> adopt(homes, out));
  }

  private void adopt(HomeMap homes, Outbox out) {
    leavingSlots.keySet().removeIf(slot -> !homes.homes().get(slot).equals(context.cell()));
    if (context.store().offer(homes)) {
      out.markChanged();
    }
  }

  private Optional<HomeMap> storedHomeMap() {
    return row.map(r -> ((HomeRow) r.value()).homes());
  }

  /**
   * Creates the home map or selects the slots to move to other cells.
   *
   * @param slotCount the number of slots of the service
   */
  void plan(int slotCount, long nowNanos, Outbox out) {
    if (!loaded || writer.isBusy() || !context.platform().isReachable()) {
      return;
    }
    if (isOutdated()) {
      writer.read(out);
      return;
    }
    ImmutableMap<CellId, Double> weights = weights(nowNanos);
    cellLoads.observe(configuredCells(), nowNanos);
    if (weights.isEmpty()) {
      return;
    }
    // A cell that has been cut off since the selection gets no slots.
    leavingSlots.values().retainAll(weights.keySet());
    if (row.isEmpty()) {
      HomeMap first = HomeMapPlanner.create(service.name(), slotCount, weights);
      writer.write(0, new HomeRow(first), nowNanos, out);
      return;
    }
    if (leavingSlots.isEmpty()) {
      chooseLeavingSlots(weights, nowNanos, out);
    }
  }

  /** Returns whether another cell has written the home map since this one read it. */
  private boolean isOutdated() {
    return context
        .store()
        .homeMap(service.name())
        .filter(known -> storedHomeMap().filter(s -> s.version() >= known.version()).isEmpty())
        .isPresent();
  }

  private void chooseLeavingSlots(ImmutableMap<CellId, Double> weights, long nowNanos, Outbox out) {
    boolean due = nowNanos - plannedAt >= PLAN_INTERVAL.toNanos();
    if (!due && weights.containsKey(context.cell())) {
      return;
    }
    plannedAt = due ? nowNanos : plannedAt;
    HomeMap current = storedHomeMap().orElseThrow();
    int budget = due ? PlacementPlanner.budget(current.homes().size()) : 0;
    boolean byLoad = cellLoads.anyLoadReported(configuredCells());
    HomeMap next = HomeMapPlanner.change(current, weights, byLoad ? 0 : budget);
    IntStream.range(0, current.homes().size())
        .filter(slot -> current.homes().get(slot).equals(context.cell()))
        .filter(slot -> !next.homes().get(slot).equals(context.cell()))
        .forEach(slot -> leavingSlots.put(slot, next.homes().get(slot)));
    if (byLoad && due && leavingSlots.isEmpty()) {
      offloadSlots(current, weights.keySet(), budget, nowNanos, out);
    }
  }

  /**
   * Selects slots for other cells if this cell is overloaded and the load of every cell is known.
   */
  private void offloadSlots(
      HomeMap current, ImmutableSet<CellId> live, int budget, long nowNanos, Outbox out) {
    ImmutableSet<CellId> cells = configuredCells();
    boolean complete = live.equals(cells) && cells.containsAll(current.homes());
    if (!complete || !cells.contains(context.cell())) {
      return;
    }
    cellLoads
        .freshLoads(cells, current.version(), nowNanos)
        .map(loads -> new CellBalanceInput(context.cell(), loads, slotLoads.apply(nowNanos)))
        .map(input -> CellBalancePlanner.plan(input, budget))
        .ifPresent(
            moves -> {
              leavingSlots.putAll(moves);
              moves.forEach((slot, to) -> logOffload(slot, to, out));
            });
  }

  private void logOffload(int slot, CellId to, Outbox out) {
    out.log(
        EventCode.HOME_CELL_CHANGED,
        ImmutableMap.of(
            DecisionEvent.SERVICE_FIELD,
            service.name().value(),
            DecisionEvent.UNIT_FIELD,
            DecisionEvent.slotUnit(slot),
            "to",
            to.value(),
            "reason",
            "load of the cell above " + CellBalancePlanner.REBALANCE_THRESHOLD));
  }

  /** Writes the new homes of released slots and of the slots of lost cells. */
  void write(Set<Integer> released, long nowNanos, Outbox out) {
    if (!loaded || writer.isBusy() || row.isEmpty()) {
      return;
    }
    HomeMap current = storedHomeMap().orElseThrow();
    List<CellId> homes = new ArrayList<>(current.homes());
    released.stream()
        .filter(leavingSlots::containsKey)
        .forEach(slot -> homes.set(slot, leavingSlots.get(slot)));
    ImmutableSet<CellId> lost = lostCells(current, nowNanos);
    if (!lost.isEmpty()) {
      rehomeLostSlots(homes, lost, current, nowNanos);
    }
    if (homes.equals(current.homes())) {
      return;
    }
    var next = new HomeMap(service.name(), current.version() + 1, ImmutableList.copyOf(homes));
    writer.write(row.get().version(), new HomeRow(next), nowNanos, out);
  }

  private void rehomeLostSlots(
      List<CellId> homes, ImmutableSet<CellId> lost, HomeMap current, long nowNanos) {
    ImmutableMap<CellId, Double> weights = weights(nowNanos);
    HomeMap next = HomeMapPlanner.change(current, weights, 0);
    IntStream.range(0, homes.size())
        .filter(slot -> lost.contains(current.homes().get(slot)))
        .forEach(slot -> homes.set(slot, next.homes().get(slot)));
  }

  /** Returns the cells of availability zones declared lost whose isolation limit has elapsed. */
  private ImmutableSet<CellId> lostCells(HomeMap current, long nowNanos) {
    ImmutableSet<CellId> lost =
        service.upstreams().stream()
            .filter(u -> context.store().configuration().lostZones().contains(u.zone()))
            .map(u -> u.cell())
            .filter(c -> !c.equals(context.cell()))
            .filter(current.homes()::contains)
            .collect(toImmutableSet());
    lostSince.keySet().retainAll(lost);
    lost.forEach(c -> lostSince.putIfAbsent(c, nowNanos));
    long wait = ServiceRules.isolationNanos(service, context.timings());
    return lost.stream().filter(c -> nowNanos - lostSince.get(c) >= wait).collect(toImmutableSet());
  }

  /** Returns the capacity of each cell that admits work and has a live daemon or is this cell. */
  private ImmutableMap<CellId, Double> weights(long nowNanos) {
    Map<CellId, Double> weights = configuredWeights();
    weights.keySet().removeIf(c -> !isAlive(c, nowNanos));
    return ImmutableMap.copyOf(weights);
  }

  private Map<CellId, Double> configuredWeights() {
    Map<CellId, Double> weights = new TreeMap<>();
    service.upstreams().stream()
        .filter(context.store().configuration()::admits)
        .forEach(u -> weights.merge(u.cell(), (double) u.concurrencyLimit(), Double::sum));
    return weights;
  }

  /** Returns the configured capacity of this cell. */
  double configuredCapacity() {
    return configuredWeights().getOrDefault(context.cell(), 0.0);
  }

  private ImmutableSet<CellId> configuredCells() {
    return ImmutableSet.copyOf(configuredWeights().keySet());
  }

  /**
   * Returns whether a cell counts as alive. Before the first home map every configured cell does,
   * because its daemons may still be starting.
   */
  private boolean isAlive(CellId cell, long nowNanos) {
    return row.isEmpty()
        || cell.equals(context.cell())
        || !context.members().live(cell, nowNanos).isEmpty();
  }
}
