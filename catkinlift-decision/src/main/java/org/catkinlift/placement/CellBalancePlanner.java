package org.catkinlift.placement;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;

/**
 * Plans which slots an overloaded cell moves to other cells.
 *
 * <p>Each cell plans only for itself. What it may move to another cell is proportional to its share
 * of the excess load of all overloaded cells, so that cells planning concurrently from the same
 * loads do not overload the receiver. Stateless; the same input gives the same moves.
 */
public final class CellBalancePlanner {
  /**
   * Load per capacity, relative to the mean of all cells, above which a cell moves slots away.
   *
   * <p>Within a cell the maximum may stay at 1.10 times its mean; 1.10 times 1.04 is within the
   * target of 1.15 for all upstreams.
   */
  public static final double REBALANCE_THRESHOLD = 1.04;

  /** Load per capacity, relative to the mean, down to which a cell moves slots away. */
  public static final double REBALANCE_TARGET = 1.01;

  /** The number of standard errors by which the load must exceed {@link #REBALANCE_THRESHOLD}. */
  public static final double MARGIN_STANDARD_ERRORS = 2;

  private CellBalancePlanner() {}

  /**
   * Plans the fewest moves that relieve the own cell.
   *
   * @param input the current loads
   * @param budget the maximum number of slots to move
   * @return the new home cell by slot; empty unless the own cell is significantly overloaded
   */
  public static ImmutableMap<Integer, CellId> plan(CellBalanceInput input, int budget) {
    CellLoad.Measured own = input.cells().get(input.own());
    double mean = mean(input.cells());
    double lowerBound = own.load() - MARGIN_STANDARD_ERRORS * own.error();
    if (!(lowerBound > REBALANCE_THRESHOLD * mean * own.capacity())) {
      return ImmutableMap.of();
    }
    Map<CellId, Double> headroom = headroomByCell(input, mean);
    Map<Integer, Double> movable = new TreeMap<>(input.slotLoads());
    double excess = own.load() - REBALANCE_TARGET * mean * own.capacity();
    var moves = ImmutableMap.<Integer, CellId>builder();
    for (int i = 0; i < budget && excess > 0 && !headroom.isEmpty(); i++) {
      CellId to = mostHeadroom(headroom);
      Optional<Integer> slot = heaviestFitting(movable, headroom.get(to));
      if (slot.isEmpty()) {
        break;
      }
      double load = movable.remove(slot.get());
      moves.put(slot.get(), to);
      headroom.merge(to, -load, Double::sum);
      excess -= load;
    }
    return moves.buildOrThrow();
  }

  /**
   * Returns how much load the own cell may move to each cell below the mean without raising it
   * above the mean.
   */
  private static Map<CellId, Double> headroomByCell(CellBalanceInput input, double mean) {
    double totalExcess =
        input.cells().values().stream().mapToDouble(c -> Math.max(0, excess(c, mean))).sum();
    double ownShare = excess(input.cells().get(input.own()), mean) / totalExcess;
    Map<CellId, Double> headroom = new HashMap<>();
    input
        .cells()
        .forEach(
            (cell, load) -> {
              if (excess(load, mean) < 0) {
                headroom.put(cell, -excess(load, mean) * ownShare);
              }
            });
    return headroom;
  }

  private static double excess(CellLoad.Measured cell, double mean) {
    return cell.load() - mean * cell.capacity();
  }

  private static double mean(ImmutableMap<CellId, CellLoad.Measured> cells) {
    double load = cells.values().stream().mapToDouble(CellLoad.Measured::load).sum();
    double capacity = cells.values().stream().mapToDouble(CellLoad.Measured::capacity).sum();
    return load / capacity;
  }

  private static CellId mostHeadroom(Map<CellId, Double> headroom) {
    return headroom.entrySet().stream()
        .max(Map.Entry.<CellId, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .orElseThrow()
        .getKey();
  }

  private static Optional<Integer> heaviestFitting(Map<Integer, Double> movable, double headroom) {
    return movable.entrySet().stream()
        .filter(e -> e.getValue() > 0 && e.getValue() <= headroom)
        .max(
            Comparator.<Map.Entry<Integer, Double>>comparingDouble(Map.Entry::getValue)
                .thenComparing(Map.Entry.comparingByKey(Comparator.reverseOrder())))
        .map(Map.Entry::getKey);
  }
}
