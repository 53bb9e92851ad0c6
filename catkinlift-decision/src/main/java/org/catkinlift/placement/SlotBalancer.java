package org.catkinlift.placement;

import com.google.common.collect.ImmutableList;

/**
 * Balances the slots of one cell, one bounded step per interval.
 *
 * <p>A rebalance that has started continues until the imbalance is at most {@link
 * PlacementPlanner#REBALANCE_TARGET}. If it stopped once the budget of a step is used up, the
 * imbalance would stay just below the threshold, where noise soon starts the next rebalance.
 * Confined to the control thread.
 */
public final class SlotBalancer {
  private boolean rebalancing;

  /** Creates a balancer without a rebalance in progress. */
  public SlotBalancer() {}

  /**
   * Returns the moves of one interval.
   *
   * @param input the current state
   * @return the moves, at most {@link PlacementPlanner#budget}
   */
  public ImmutableList<SlotMove> nextMoves(PlacementInput input) {
    int budget = PlacementPlanner.budget(input.owners().size());
    ImmutableList<SlotMove> moves =
        rebalancing
            ? PlacementPlanner.continueBalancing(input, budget)
            : PlacementPlanner.balance(input, budget);
    rebalancing = !moves.isEmpty();
    return moves;
  }
}
