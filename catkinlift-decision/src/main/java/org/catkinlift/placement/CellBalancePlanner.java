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
 * Plans which slots an overloaded cell gives to other cells.
 *
 * <p>Each cell plans for itself only. What it may give to another cell is in proportion to its part
 * of the excess of all overloaded cells, so that several cells that plan from the same loads at
 * once do not overload the receiver. Stateless; the same input gives the same moves.
 */
public final class CellBalancePlanner {
  /**
   * Load per capacity, relative to the mean of all cells, above which a cell gives slots away.
   *
   * <p>Within a cell the maximum may stay at 1.10 times its mean; 1.10 times 1.04 is within the
   * target of 1.15 for all upstreams.
   */
  public static final double MOVE_ABOVE = 1.04;

  /** Load per capacity, relative to the mean, at which a cell gives no further slot away. */
  public static final double MOVE_UNTIL = 1.01;

  /** The standard errors by which the load must surpass {@link #MOVE_ABOVE}. */
  public static final double NOISE_ERRORS = 2;

  private CellBalancePlanner() {}

  /**
   * Plans the fewest moves that relieve the own cell.
   *
   * @param input the present loads
   * @param budget the most slots that may move
   * @return the next home by slot; empty unless the own cell is surely overloaded
   */
  public static ImmutableMap<Integer, CellId> plan(CellBalanceInput input, int budget) {
    CellLoad.Measured own = input.cells().get(input.own());
    double mean = mean(input.cells());
    double sure = own.load() - NOISE_ERRORS * own.error();
    if (!(sure > MOVE_ABOVE * mean * own.capacity())) {
      return ImmutableMap.of();
    }
    Map<CellId, Double> room = rooms(input, mean);
    Map<Integer, Double> movable = new TreeMap<>(input.slotLoads());
    double excess = own.load() - MOVE_UNTIL * mean * own.capacity();
    var moves = ImmutableMap.<Integer, CellId>builder();
    for (int i = 0; i < budget && excess > 0 && !room.isEmpty(); i++) {
      CellId to = emptiest(room);
      Optional<Integer> slot = heaviestFitting(movable, room.get(to));
      if (slot.isEmpty()) {
        break;
      }
      double load = movable.remove(slot.get());
      moves.put(slot.get(), to);
      room.merge(to, -load, Double::sum);
      excess -= load;
    }
    return moves.buildOrThrow();
  }

  /** What the own cell may give to each cell under the mean without bringing it above the mean. */
  private static Map<CellId, Double> rooms(CellBalanceInput input, double mean) {
    double allExcess =
        input.cells().values().stream().mapToDouble(c -> Math.max(0, excess(c, mean))).sum();
    double part = excess(input.cells().get(input.own()), mean) / allExcess;
    Map<CellId, Double> rooms = new HashMap<>();
    input
        .cells()
        .forEach(
            (cell, load) -> {
              if (excess(load, mean) < 0) {
                rooms.put(cell, -excess(load, mean) * part);
              }
            });
    return rooms;
  }

  private static double excess(CellLoad.Measured cell, double mean) {
    return cell.load() - mean * cell.capacity();
  }

  private static double mean(ImmutableMap<CellId, CellLoad.Measured> cells) {
    double load = cells.values().stream().mapToDouble(CellLoad.Measured::load).sum();
    double capacity = cells.values().stream().mapToDouble(CellLoad.Measured::capacity).sum();
    return load / capacity;
  }

  private static CellId emptiest(Map<CellId, Double> room) {
    return room.entrySet().stream()
        .max(Map.Entry.<CellId, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .orElseThrow()
        .getKey();
  }

  private static Optional<Integer> heaviestFitting(Map<Integer, Double> movable, double room) {
    return movable.entrySet().stream()
        .filter(e -> e.getValue() > 0 && e.getValue() <= room)
        .max(
            Comparator.<Map.Entry<Integer, Double>>comparingDouble(Map.Entry::getValue)
                .thenComparing(Map.Entry.comparingByKey(Comparator.reverseOrder())))
        .map(Map.Entry::getKey);
  }
}
