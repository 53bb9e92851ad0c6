package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static com.google.common.collect.ImmutableSortedMap.toImmutableSortedMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.placement.HotKeys;
import org.catkinlift.placement.LoadAverage;
import org.catkinlift.placement.PlacementInput;
import org.catkinlift.placement.SlotBalancer;
import org.catkinlift.placement.SlotMove;

/** Tracks the load of one service's units and decides when an imbalance justifies moves. */
final class UnitLoads {
  private static final Duration BALANCE_INTERVAL = Duration.ofSeconds(30);

  /**
   * Long compared with a half-life, so that a key with bursts of load does not move after every
   * burst.
   */
  static final Duration COOL_AFTER = Duration.ofMinutes(5);

  private static final Duration PINNED_AFTER_MOVE = Duration.ofMinutes(2);

  /**
   * Dispatchers report with each heartbeat, so without a report for this time the load is unknown.
   */
  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(5);

  private static final long NEVER = Long.MIN_VALUE / 4;

  private final UnitTable table;
  private final LoadAverage averages = new LoadAverage();
  private final SlotBalancer balancer = new SlotBalancer();
  private final EffectiveCapacity capacity = new EffectiveCapacity();
  private final Map<String, Double> keyLoads = new HashMap<>();
  private final Map<UpstreamId, UpstreamLoad> unappliedReports = new HashMap<>();
  private final Map<UpstreamId, Double> reportedTotals = new HashMap<>();
  private final Map<String, Long> coolSince = new HashMap<>();
  private final Map<UpstreamId, Long> reportedAt = new HashMap<>();
  private final Map<Integer, Long> movedAt = new HashMap<>();
  private long firstReportAt = Long.MAX_VALUE;
  private long balancedAt = NEVER;

  UnitLoads(UnitTable table) {
    this.table = table;
  }

  void onReported(UpstreamLoad load, long nowNanos) {
    firstReportAt = Math.min(firstReportAt, nowNanos);
    unappliedReports.put(load.upstream(), load);
    reportedAt.put(load.upstream(), nowNanos);
    for (int unit : table.owned(load.upstream()::equals)) {
      averages.add(unit, loadOf(unit, load), nowNanos);
    }
    load.keyLoads().forEach(keyLoads::put);
    double total = load.slotLoads().values().stream().mapToDouble(Double::doubleValue).sum();
    reportedTotals.put(load.upstream(), total);
  }

  /** Returns the reported load of a unit. The load of a slot excludes its keys with an override. */
  private double loadOf(int unit, UpstreamLoad load) {
    return table
        .keyOf(unit)
        .map(key -> load.keyLoads().getOrDefault(key, 0.0))
        .orElseGet(() -> load.slotLoads().getOrDefault(unit, 0.0));
  }

  double capacity(UpstreamDefinition upstream, long nowNanos) {
    UpstreamLoad load = unappliedReports.remove(upstream.id());
    if (load != null) {
      capacity.onLimitReported(upstream, load.currentLimit(), nowNanos);
    }
    return capacity.of(upstream, nowNanos);
  }

  PlacementInput input(
      Set<Integer> units, ImmutableMap<UpstreamId, Double> capacities, long nowNanos) {
    return new PlacementInput(
        units.stream()
            .collect(toImmutableSortedMap(Comparator.naturalOrder(), u -> u, table::owner)),
        averages.values(),
        averages.squaredErrors(),
        capacities,
        pinned(nowNanos));
  }

  private ImmutableSet<Integer> pinned(long nowNanos) {
    return movedAt.entrySet().stream()
        .filter(e -> nowNanos - e.getValue() < PINNED_AFTER_MOVE.toNanos())
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }

  /**
   * Returns the total load of all units; empty while it is unknown.
   *
   * @param upstreams the upstreams in service, each of which must have a recent report
   * @param capacity the configured capacity of the cell, which the loss of an upstream does not
   *     reduce, so that such a loss moves no slots to other cells
   */
  Optional<CellLoad.Measured> measured(
      Set<UpstreamId> upstreams, long homeVersion, double capacity, long nowNanos) {
    boolean reporting =
        !upstreams.isEmpty() && upstreams.stream().allMatch(u -> hasReportedRecently(u, nowNanos));
    if (!reporting || !coversHalfLife(nowNanos)) {
      return Optional.empty();
    }
    double load = sum(averages.values());
    double error = Math.sqrt(sum(averages.squaredErrors()));
    return Optional.of(new CellLoad.Measured(homeVersion, load, error, capacity));
  }

  private double sum(ImmutableMap<Integer, Double> values) {
    return table.units().stream().mapToDouble(u -> values.getOrDefault(u, 0.0)).sum();
  }

  /** Returns the load of each slot including its overrides, without recently moved slots. */
  ImmutableMap<Integer, Double> slotLoads(long nowNanos) {
    ImmutableMap<Integer, Double> values = averages.values();
    Map<Integer, Double> loads = new HashMap<>();
    table.owned(u -> true).stream()
        .forEach(u -> loads.merge(table.slotOf(u), values.getOrDefault(u, 0.0), Double::sum));
    pinned(nowNanos).stream()
        .filter(table.units()::contains)
        .map(table::slotOf)
        .forEach(loads::remove);
    return ImmutableMap.copyOf(loads);
  }

  /** Returns the moves that are due; empty until the averages cover a half-life. */
  ImmutableList<SlotMove> balance(
      Set<Integer> units, ImmutableMap<UpstreamId, Double> capacities, long nowNanos) {
    boolean due = nowNanos - balancedAt >= BALANCE_INTERVAL.toNanos();
    if (!coversHalfLife(nowNanos) || !due) {
      return ImmutableList.of();
    }
    balancedAt = nowNanos;
    ImmutableList<SlotMove> moves = balancer.nextMoves(input(units, capacities, nowNanos));
    moves.forEach(m -> movedAt.put(m.slot(), nowNanos));
    return moves;
  }

  /**
   * Returns whether the averages cover a half-life. Before that, a few requests look like a heavy
   * load.
   */
  private boolean coversHalfLife(long nowNanos) {
    return firstReportAt != Long.MAX_VALUE
        && nowNanos - firstReportAt >= LoadAverage.HALF_LIFE.toNanos();
  }

  /**
   * Returns the keys that need an override and whose slot has an owner.
   *
   * <p>The fair share is computed from the same reports as the key loads. The slot averages lag
   * behind a growing load, so that a fair share based on them would make every key look hot.
   */
  ImmutableList<String> newHotKeys(int upstreams, long nowNanos) {
    if (keyLoads.isEmpty() || upstreams == 0 || !coversHalfLife(nowNanos)) {
      return ImmutableList.of();
    }
    double fairShare = fairShare(upstreams);
    int remainingOverrides = HotKeys.MAX_OVERRIDES - table.overrideCount();
    ImmutableList<String> hot =
        keyLoads.entrySet().stream()
            .filter(e -> fairShare > 0 && HotKeys.isHot(e.getValue(), fairShare))
            .filter(e -> !table.hasOverride(e.getKey()) && table.hasSlotOwner(e.getKey()))
            .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
            .map(Map.Entry::getKey)
            .limit(Math.max(0, remainingOverrides))
            .collect(toImmutableList());
    keyLoads.clear();
    return hot;
  }

  /**
   * Returns the overrides whose keys have been cool for {@link #COOL_AFTER} according to the
   * reports of their owners.
   */
  ImmutableSet<Integer> cooledOverrides(int upstreams, long nowNanos) {
    if (upstreams == 0 || !coversHalfLife(nowNanos)) {
      return ImmutableSet.of();
    }
    double fairShare = fairShare(upstreams);
    ImmutableMap<String, Integer> overrides = table.overrides();
    coolSince.keySet().retainAll(overrides.keySet());
    ImmutableMap<Integer, Double> values = averages.values();
    overrides.forEach(
        (key, unit) -> {
          if (hasRecentReport(unit, nowNanos) && HotKeys.isCool(values.get(unit), fairShare)) {
            coolSince.putIfAbsent(key, nowNanos);
          } else {
            coolSince.remove(key);
          }
        });
    return coolSince.entrySet().stream()
        .filter(e -> nowNanos - e.getValue() >= COOL_AFTER.toNanos())
        .map(e -> overrides.get(e.getKey()))
        .collect(toImmutableSet());
  }

  private double fairShare(int upstreams) {
    return reportedTotals.values().stream().mapToDouble(Double::doubleValue).sum() / upstreams;
  }

  private boolean hasRecentReport(int unit, long nowNanos) {
    return averages.isKnown(unit)
        && table.owner(unit).filter(u -> hasReportedRecently(u, nowNanos)).isPresent();
  }

  private boolean hasReportedRecently(UpstreamId upstream, long nowNanos) {
    return nowNanos - reportedAt.getOrDefault(upstream, NEVER) <= MAX_REPORT_AGE.toNanos();
  }

  /** Discards the load of a removed override. */
  void forget(int unit) {
    averages.remove(unit);
    movedAt.remove(unit);
  }
}
