package org.catkinlift.placement;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import org.catkinlift.model.UpstreamId;

/**
 * Plans which slots move between the upstreams of one cell.
 *
 * <p>Slots whose owner may not own any are always moved, to the upstreams with the lowest load per
 * capacity. Other slots move only to correct an imbalance, and only a few at a time, so that noise
 * causes no moves. Stateless; the same input gives the same moves.
 */
public final class PlacementPlanner {
  /** Ratio of maximum to mean load per capacity above which slots move for balance. */
  public static final double REBALANCE_THRESHOLD = 1.10;

  /**
   * The number of standard errors by which the load of an upstream must exceed {@link
   * #REBALANCE_THRESHOLD}.
   *
   * <p>An upstream that serves one heavy key has a standard error of 1.7 % of the mean when reports
   * vary by 30 %. The distance from {@link #REBALANCE_TARGET} to {@link #REBALANCE_THRESHOLD} is
   * only three of these errors, and noise alone caused moves; two more make it five.
   */
  public static final double MARGIN_STANDARD_ERRORS = 2;

  /** Ratio of maximum to mean load per capacity at which balancing stops. */
  public static final double REBALANCE_TARGET = 1.05;

  /** The share of all slots that may move for balance within one interval. */
  public static final double MAX_MOVED_SHARE = 0.02;

  private PlacementPlanner() {}

  /**
   * Plans the moves of slots whose current owner may not own any.
   *
   * @param input the current state
   * @return the moves, heaviest slot first; empty if no upstream may own slots
   */
  public static ImmutableList<SlotMove> reassignUnowned(PlacementInput input) {
    if (input.capacities().isEmpty()) {
      return ImmutableList.of();
    }
    var loads = new UpstreamLoads(input);
    return input.owners().keySet().stream()
        .filter(slot -> !loads.isOwned(slot))
        .sorted(
            Comparator.comparingDouble((Integer s) -> -loads.loadOf(s)).thenComparingInt(s -> s))
        .map(slot -> loads.move(slot, loads.leastLoadedAfter(slot)))
        .collect(toImmutableList());
  }

  /**
   * Plans the fewest moves that correct an imbalance.
   *
   * @param input the current state
   * @param budget the maximum number of slots to move
   * @return the moves; empty unless an upstream significantly exceeds {@link #REBALANCE_THRESHOLD}
   *     times the mean
   */
  public static ImmutableList<SlotMove> balance(PlacementInput input, int budget) {
    if (input.capacities().isEmpty()) {
      return ImmutableList.of();
    }
    var loads = new UpstreamLoads(input);
    return loads.isSignificantlyAbove(REBALANCE_THRESHOLD, MARGIN_STANDARD_ERRORS)
        ? movesUntilBalanced(loads, budget)
        : ImmutableList.of();
  }

  /**
   * Plans the next moves of a rebalance that exceeded the budget of an earlier interval.
   *
   * @param input the current state
   * @param budget the maximum number of slots to move
   * @return the moves; empty once the ratio of maximum to mean is at most {@link #REBALANCE_TARGET}
   */
  public static ImmutableList<SlotMove> continueBalancing(PlacementInput input, int budget) {
    return input.capacities().isEmpty()
        ? ImmutableList.of()
        : movesUntilBalanced(new UpstreamLoads(input), budget);
  }

  private static ImmutableList<SlotMove> movesUntilBalanced(UpstreamLoads loads, int budget) {
    var moves = ImmutableList.<SlotMove>builder();
    for (int i = 0; i < budget && loads.imbalance() > REBALANCE_TARGET; i++) {
      Optional<SlotMove> move = bestMove(loads);
      if (move.isEmpty()) {
        break;
      }
      moves.add(move.get());
    }
    return moves.build();
  }

  /**
   * Returns the number of slots that may move for balance within one interval, at least 1.
   *
   * @param slotCount the number of slots of the cell
   */
  public static int budget(int slotCount) {
    return Math.max(1, (int) (slotCount * MAX_MOVED_SHARE));
  }

  /** Moves the heaviest slot that fits from the most to the least loaded upstream. */
  private static Optional<SlotMove> bestMove(UpstreamLoads loads) {
    UpstreamId from = loads.mostLoaded();
    UpstreamId to = loads.leastLoaded();
    double maxLoad = loads.maxMovableLoad(from, to);
    return loads.movableSlots(from).stream()
        .filter(slot -> loads.loadOf(slot) > 0 && loads.loadOf(slot) <= maxLoad)
        .max(Comparator.comparingDouble((Integer s) -> loads.loadOf(s)).thenComparingInt(s -> -s))
        .map(slot -> loads.move(slot, to));
  }
}
