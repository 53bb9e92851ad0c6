package org.catkinlift.placement;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import org.catkinlift.model.UpstreamId;

/**
 * Plans which slots move between the upstreams of one cell.
 *
 * <p>Slots whose owner may not own any are always moved, to the upstreams with the least load per
 * capacity. Other slots move only against an imbalance, and only a few at a time, so that noise
 * causes no move. Stateless; the same input gives the same moves.
 */
public final class PlacementPlanner {
  /** Maximum over mean above which slots move for balance. */
  public static final double MOVE_ABOVE = 1.10;

  /**
   * The standard errors by which the load of an upstream must surpass {@link #MOVE_ABOVE}.
   *
   * <p>An upstream that serves one heavy key has a standard error of 1.7 % of the mean when reports
   * vary by 30 %, so three errors reach from {@link #MOVE_UNTIL} to {@link #MOVE_ABOVE} and noise
   * alone caused moves. With two errors more, five lie between.
   */
  public static final double NOISE_ERRORS = 2;

  /** Maximum over mean under which no further slot moves. */
  public static final double MOVE_UNTIL = 1.05;

  /** The share of all slots that may move for balance within one interval. */
  public static final double MAX_SHARE = 0.02;

  private PlacementPlanner() {}

  /**
   * Plans the moves of slots whose present owner may not own any.
   *
   * @param input the present state
   * @return the moves, heaviest slot first; empty if there is no upstream left
   */
  public static ImmutableList<SlotMove> rescue(PlacementInput input) {
    if (input.capacities().isEmpty()) {
      return ImmutableList.of();
    }
    var sums = new LoadSums(input);
    return input.owners().keySet().stream()
        .filter(slot -> !sums.isOwned(slot))
        .sorted(Comparator.comparingDouble((Integer s) -> -sums.loadOf(s)).thenComparingInt(s -> s))
        .map(slot -> sums.move(slot, sums.leastLoadedAfter(slot)))
        .collect(toImmutableList());
  }

  /**
   * Plans the fewest moves against an imbalance.
   *
   * @param input the present state
   * @param budget the most slots that may move
   * @return the moves; empty while no upstream surely exceeds {@link #MOVE_ABOVE} of the mean
   */
  public static ImmutableList<SlotMove> balance(PlacementInput input, int budget) {
    if (input.capacities().isEmpty()) {
      return ImmutableList.of();
    }
    var sums = new LoadSums(input);
    return sums.isSurelyAbove(MOVE_ABOVE, NOISE_ERRORS)
        ? movesUntilBalanced(sums, budget)
        : ImmutableList.of();
  }

  /**
   * Plans the next moves against an imbalance for which an earlier budget was too small.
   *
   * @param input the present state
   * @param budget the most slots that may move
   * @return the moves; empty once maximum over mean is at most {@link #MOVE_UNTIL}
   */
  public static ImmutableList<SlotMove> proceed(PlacementInput input, int budget) {
    return input.capacities().isEmpty()
        ? ImmutableList.of()
        : movesUntilBalanced(new LoadSums(input), budget);
  }

  private static ImmutableList<SlotMove> movesUntilBalanced(LoadSums sums, int budget) {
    var moves = ImmutableList.<SlotMove>builder();
    for (int i = 0; i < budget && sums.imbalance() > MOVE_UNTIL; i++) {
      Optional<SlotMove> move = bestMove(sums);
      if (move.isEmpty()) {
        break;
      }
      moves.add(move.get());
    }
    return moves.build();
  }

  /**
   * Returns the number of slots that may move for balance within one interval.
   *
   * @param slotCount the number of slots of the cell
   * @return the number, at least 1
   */
  public static int budget(int slotCount) {
    return Math.max(1, (int) (slotCount * MAX_SHARE));
  }

  /** Moves the heaviest slot that fits from the most to the least loaded upstream. */
  private static Optional<SlotMove> bestMove(LoadSums sums) {
    UpstreamId from = sums.mostLoaded();
    UpstreamId to = sums.leastLoaded();
    double room = sums.roomBetween(from, to);
    return sums.movableSlots(from).stream()
        .filter(slot -> sums.loadOf(slot) > 0 && sums.loadOf(slot) <= room)
        .max(Comparator.comparingDouble((Integer s) -> sums.loadOf(s)).thenComparingInt(s -> -s))
        .map(slot -> sums.move(slot, to));
  }
}
