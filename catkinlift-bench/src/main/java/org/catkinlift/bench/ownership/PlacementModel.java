package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSortedMap.toImmutableSortedMap;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.catkinlift.bench.Site;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.placement.CellBalanceInput;
import org.catkinlift.placement.CellBalancePlanner;
import org.catkinlift.placement.HomeMapPlanner;
import org.catkinlift.placement.HotKeys;
import org.catkinlift.placement.Imbalance;
import org.catkinlift.placement.LoadAverage;
import org.catkinlift.placement.PlacementInput;
import org.catkinlift.placement.PlacementPlanner;
import org.catkinlift.placement.SlotBalancer;
import org.catkinlift.placement.SlotMove;
import org.catkinlift.routing.KeyHasher;

/** Runs the placement planners of all cells of a site under a skewed mix of keys with noise. */
final class PlacementModel {
  private static final int SLOTS = 1_024;
  private static final int KEYS = 20_000;
  private static final double SKEW = 0.8;
  private static final double NOISE = 0.3;
  private static final int REPORTS_PER_INTERVAL = 30;
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration INTERVAL = REPORT_INTERVAL.multipliedBy(REPORTS_PER_INTERVAL);

  private final SplittableRandom random;
  private final Map<String, Double> keys = new HashMap<>();
  private final ImmutableMap<UpstreamId, Double> capacities;
  private final List<Cell> cells = new ArrayList<>();
  private final Map<Integer, Integer> hotKeySlots = new HashMap<>();
  private long nowNanos;
  private long homesChangedAt;

  /** The units of one cell: slots and, above the slot count, keys placed apart. */
  private static final class Cell {
    private final TreeMap<Integer, Optional<UpstreamId>> owners = new TreeMap<>();
    private final Map<Integer, Double> loads = new HashMap<>();
    private final SlotBalancer balancer = new SlotBalancer();
    private final LoadAverage averages = new LoadAverage();
    private final Map<Integer, Long> movedAt = new HashMap<>();
    private final CellId id;
    private ImmutableMap<UpstreamId, Double> capacities = ImmutableMap.of();

    private Cell(CellId id) {
      this.id = id;
    }
  }

  /**
   * Builds the model.
   *
   * @param extraKeyShare the load of one extra key, relative to the fair share of an upstream
   */
  PlacementModel(Site site, long seed, double extraKeyShare) {
    this.random = new SplittableRandom(seed);
    this.capacities =
        IntStream.range(0, site.keyedUpstreams())
            .boxed()
            .collect(
                toImmutableMap(
                    i -> UpstreamId.of("up" + i % site.zones() + "-" + i),
                    i -> (double) site.concurrencyLimit()));
    for (int i = 0; i < KEYS; i++) {
      keys.put("key-" + seed + "-" + i, Math.pow(i + 1, -SKEW));
    }
    double total = total();
    if (extraKeyShare > 0) {
      keys.put("key-extra-" + seed, extraKeyShare * total / site.keyedUpstreams());
    }
    buildCells(site);
  }

  private void buildCells(Site site) {
    var weights = new TreeMap<CellId, Double>();
    capacities.forEach((u, c) -> weights.merge(cellOf(u), c, Double::sum));
    HomeMap homes =
        HomeMapPlanner.create(ServiceName.of("orders"), SLOTS, ImmutableMap.copyOf(weights));
    for (CellId id : weights.keySet()) {
      var cell = new Cell(id);
      cell.capacities =
          capacities.entrySet().stream()
              .filter(e -> cellOf(e.getKey()).equals(id))
              .collect(toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
      IntStream.range(0, SLOTS)
          .filter(s -> homes.homes().get(s).equals(id))
          .forEach(s -> cell.owners.put(s, Optional.empty()));
      cells.add(cell);
    }
    double fairShare = total() / site.keyedUpstreams();
    int unit = SLOTS;
    for (String key : keys.keySet().stream().sorted().toList()) {
      int slot = KeyHasher.slotOf(key, SLOTS);
      Cell cell = cells.stream().filter(c -> c.owners.containsKey(slot)).findFirst().orElseThrow();
      int own = HotKeys.isHot(keys.get(key), fairShare) ? unit++ : slot;
      hotKeySlots.put(own, slot);
      cell.owners.putIfAbsent(own, Optional.empty());
      cell.loads.merge(own, keys.get(key), Double::sum);
    }
    cells.forEach(c -> apply(c, PlacementPlanner.reassignUnowned(input(c))));
  }

  private static CellId cellOf(UpstreamId upstream) {
    return CellId.of("cell" + upstream.value().substring(2, upstream.value().indexOf('-')));
  }

  /** Runs some intervals of noisy reports, each followed by the moves that are due. */
  int run(int intervals) {
    int moves = 0;
    for (int i = 0; i < intervals; i++) {
      for (int j = 0; j < REPORTS_PER_INTERVAL; j++) {
        nowNanos += REPORT_INTERVAL.toNanos();
        cells.forEach(this::report);
      }
      moves += balanceCells();
      for (Cell cell : cells) {
        List<SlotMove> due = cell.balancer.nextMoves(input(cell));
        apply(cell, due);
        moves += due.size();
      }
    }
    return moves;
  }

  /** All cells plan from the same loads; after a move one interval passes without another. */
  private int balanceCells() {
    boolean settled = nowNanos - homesChangedAt > INTERVAL.toNanos();
    if (!settled) {
      return 0;
    }
    ImmutableMap<CellId, CellLoad.Measured> loads =
        cells.stream().collect(toImmutableMap(c -> c.id, this::measured));
    var moves = new TreeMap<Integer, CellId>();
    for (Cell cell : cells) {
      var input = new CellBalanceInput(cell.id, loads, slotLoads(cell));
      moves.putAll(CellBalancePlanner.plan(input, PlacementPlanner.budget(SLOTS)));
    }
    moves.forEach(this::moveHome);
    cells.forEach(c -> apply(c, PlacementPlanner.reassignUnowned(input(c))));
    homesChangedAt = moves.isEmpty() ? homesChangedAt : nowNanos;
    return moves.size();
  }

  private CellLoad.Measured measured(Cell cell) {
    double capacity = cell.capacities.values().stream().mapToDouble(c -> c).sum();
    double load = sum(cell.averages.values(), cell);
    double error = Math.sqrt(sum(cell.averages.squaredErrors(), cell));
    return new CellLoad.Measured(1, load, error, capacity);
  }

  private static double sum(ImmutableMap<Integer, Double> values, Cell cell) {
    return cell.owners.keySet().stream().mapToDouble(u -> values.getOrDefault(u, 0.0)).sum();
  }

  private ImmutableMap<Integer, Double> slotLoads(Cell cell) {
    ImmutableMap<Integer, Double> averages = cell.averages.values();
    var loads = new TreeMap<Integer, Double>();
    cell.owners
        .keySet()
        .forEach(u -> loads.merge(slotOf(u), averages.getOrDefault(u, 0.0), Double::sum));
    return ImmutableMap.copyOf(loads);
  }

  private int slotOf(int unit) {
    return hotKeySlots.getOrDefault(unit, unit);
  }

  /** Takes a slot and its hot keys to another cell, where they have neither owner nor average. */
  private void moveHome(int slot, CellId to) {
    Cell from = cells.stream().filter(c -> c.owners.containsKey(slot)).findFirst().orElseThrow();
    Cell next = cells.stream().filter(c -> c.id.equals(to)).findFirst().orElseThrow();
    for (int unit : ImmutableSet.copyOf(from.owners.keySet())) {
      if (slotOf(unit) == slot) {
        from.owners.remove(unit);
        next.owners.put(unit, Optional.empty());
        next.loads.put(unit, from.loads.getOrDefault(unit, 0.0));
      }
    }
  }

  private void report(Cell cell) {
    cell.owners
        .keySet()
        .forEach(
            unit -> {
              double noise = 1 + NOISE * (2 * random.nextDouble() - 1);
              cell.averages.add(unit, cell.loads.getOrDefault(unit, 0.0) * noise, nowNanos);
            });
  }

  private PlacementInput input(Cell cell) {
    return new PlacementInput(
        cell.owners.entrySet().stream()
            .collect(
                toImmutableSortedMap(
                    Comparator.naturalOrder(), Map.Entry::getKey, Map.Entry::getValue)),
        cell.averages.values(),
        cell.averages.squaredErrors(),
        cell.capacities,
        cell.movedAt.entrySet().stream()
            .filter(e -> nowNanos - e.getValue() < Duration.ofMinutes(2).toNanos())
            .map(Map.Entry::getKey)
            .collect(ImmutableSet.toImmutableSet()));
  }

  private void apply(Cell cell, List<SlotMove> moves) {
    for (SlotMove move : moves) {
      cell.owners.put(move.slot(), Optional.of(move.to()));
      cell.movedAt.put(move.slot(), nowNanos);
    }
  }

  /** The share of units that placing everything anew moves from one report to the next. */
  double replannedShare() {
    cells.forEach(this::report);
    List<ImmutableMap<Integer, UpstreamId>> before = cells.stream().map(this::replan).toList();
    nowNanos += REPORT_INTERVAL.toNanos();
    cells.forEach(this::report);
    double moved = 0;
    for (int i = 0; i < cells.size(); i++) {
      ImmutableMap<Integer, UpstreamId> after = replan(cells.get(i));
      ImmutableMap<Integer, UpstreamId> earlier = before.get(i);
      moved += after.keySet().stream().filter(u -> !after.get(u).equals(earlier.get(u))).count();
    }
    return moved / units();
  }

  private ImmutableMap<Integer, UpstreamId> replan(Cell cell) {
    PlacementInput present = input(cell);
    var homeless =
        new PlacementInput(
            present.owners().keySet().stream()
                .collect(
                    toImmutableSortedMap(Comparator.naturalOrder(), u -> u, u -> Optional.empty())),
            present.loads(),
            present.capacities(),
            ImmutableSet.of());
    return PlacementPlanner.reassignUnowned(homeless).stream()
        .collect(toImmutableMap(SlotMove::slot, SlotMove::to));
  }

  /** The imbalance of the true loads over all upstreams of the site. */
  double imbalance() {
    var loads = new HashMap<UpstreamId, Double>();
    for (Cell cell : cells) {
      cell.owners.forEach(
          (unit, owner) ->
              loads.merge(owner.orElseThrow(), cell.loads.getOrDefault(unit, 0.0), Double::sum));
    }
    return Imbalance.of(loads, capacities);
  }

  /** The imbalance if each slot went to the upstream with the highest hash. */
  double unboundedHashImbalance() {
    var loads = new HashMap<UpstreamId, Double>();
    keys.forEach(
        (key, load) -> loads.merge(highest(KeyHasher.slotOf(key, SLOTS)), load, Double::sum));
    return Imbalance.of(loads, capacities);
  }

  private UpstreamId highest(int slot) {
    return capacities.keySet().stream()
        .max(
            Comparator.comparingLong(
                u ->
                    Hashing.farmHashFingerprint64()
                        .hashUnencodedChars(u.value() + "|" + slot)
                        .asLong()))
        .orElseThrow();
  }

  double floor() {
    double largest = keys.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    return Imbalance.floor(largest, total(), capacities);
  }

  int units() {
    return cells.stream().mapToInt(c -> c.owners.size()).sum();
  }

  private double total() {
    return keys.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
