package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/**
 * Assigns key ranges to upstreams.
 *
 * <p>Keys whose holder may not keep them go to the upstreams with the lowest utilization, divided
 * into several pieces where a single piece would overload the new holder. If the map needs no such
 * change, the load is balanced ({@link RangeBalancer}) and small ranges are joined ({@link
 * RangeJoiner}).
 */
public final class RangePlanner {
  /** Share of an average upstream's load above which an unassigned range is divided. */
  private static final double MAX_PIECE_SHARE = 0.5;

  /** A remainder of up to this many pieces is assigned as one. */
  private static final double MAX_REMAINDER_PIECES = 1.5;

  private final KeyLoad load;
  private final PlanDraft draft;

  private RangePlanner(PlanDraft draft) {
    this.load = draft.load();
    this.draft = draft;
  }

  /**
   * Plans the next map.
   *
   * @param map the current map
   * @param candidates the upstreams that may hold keys
   * @param load the load of each key
   * @param movable whether an assignment may be moved for balance
   * @param mayReceive whether an upstream may receive keys for balance; for keys that lose their
   *     holder, an upstream that may not is the last choice
   * @return the next map, or empty if the current one is kept
   */
  public static Optional<RangePlan> plan(
      RangeMap map,
      Collection<Candidate> candidates,
      KeyLoad load,
      Predicate<RangeAssignment> movable,
      BiPredicate<KeyRange, Holder> mayReceive) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    var draft = new PlanDraft(map.nextFence(), candidates, load, movable, mayReceive);
    new RangePlanner(draft).keepOrReassign(map);
    if (!draft.isChanged()) {
      new RangeBalancer(draft).balance();
      new RangeJoiner(draft).join();
    }
    return draft.result();
  }

  private void keepOrReassign(RangeMap map) {
    List<RangeAssignment> unassigned = new ArrayList<>();
    for (RangeAssignment assignment : map.assignments()) {
      Optional<Candidate> candidate = draft.holderOf(assignment);
      if (candidate.isEmpty()) {
        unassigned.add(assignment);
      } else if (Holder.of(candidate.get().upstream()).equals(assignment.holder())) {
        draft.keep(assignment);
      } else {
        draft.assign(
            assignment.range(),
            candidate.get(),
            PlanDraft.possibleHolders(assignment),
            ReassignmentReason.HOLDER_RESTARTED);
      }
    }
    if (map.assignments().isEmpty()) {
      unassigned.add(initialAssignment());
    }
    unassigned.sort(
        Comparator.comparingDouble((RangeAssignment a) -> load.of(a.range())).reversed());
    unassigned.forEach(this::reassign);
  }

  /** Returns a placeholder that covers all keys before any key is assigned. */
  private RangeAssignment initialAssignment() {
    Candidate any = draft.candidates().iterator().next();
    return new RangeAssignment(KeyRange.ALL, Holder.of(any.upstream()), 0, ImmutableList.of());
  }

  private void reassign(RangeAssignment assignment) {
    ImmutableList<Holder> previousHolders = PlanDraft.possibleHolders(assignment);
    ReassignmentReason reason =
        assignment.fence() == 0 ? ReassignmentReason.FIRST_HOLDER : ReassignmentReason.HOLDER_LEFT;
    double maxPiece = maxPieceLoadPerSlot();
    KeyRange rest = assignment.range();
    while (true) {
      Candidate target = leastUtilized(rest);
      double maxLoad = maxPiece * target.capacity();
      int count = Math.max(1, load.keysFromStart(rest, maxLoad));
      if (count >= rest.size() || load.of(rest) <= maxLoad * MAX_REMAINDER_PIECES) {
        draft.assign(rest, target, previousHolders, reason);
        return;
      }
      draft.assign(rest.firstKeys(count), target, previousHolders, reason);
      rest = rest.lastKeys(rest.size() - count);
    }
  }

  /** Returns the largest load of a piece for each slot of its new holder. */
  private double maxPieceLoadPerSlot() {
    double share = draft.rangeCount() == 0 ? 1 : MAX_PIECE_SHARE;
    return draft.meanUtilization() * share;
  }

  private Candidate leastUtilized(KeyRange range) {
    return draft.candidates().stream()
        .min(
            Comparator.comparing((Candidate c) -> !c.acceptsMoreKeys())
                .thenComparing(c -> !draft.mayReceive(range, c))
                .thenComparingDouble(draft::utilization)
                .thenComparing(c -> c.upstream().id()))
        .orElseThrow();
  }
}
