package org.catkinlift.placement;

import com.google.common.collect.ImmutableList;

/**
 * Balances the slots of one cell, one bounded step per interval.
 *
 * <p>A rebalance that has started goes on until the imbalance is under {@link
 * PlacementPlanner#REBALANCE_TARGET}. If it ended where the budget of a step ends, the imbalance
 * would stay just under the limit, where noise soon starts the next rebalance. Control thread only.
 */
public final class SlotBalancer {
  private boolean rebalancing;

  /** Creates a balancer without a rebalance under way. */
  public SlotBalancer() {}

  /**
   * Returns the moves of one interval.
   *
   * @param input the present state
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
