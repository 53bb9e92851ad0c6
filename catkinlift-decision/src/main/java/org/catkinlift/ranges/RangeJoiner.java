package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;

/**
 * Keeps the number of ranges low, since each of them costs a grant call in every renewal interval:
 * joins idle ranges to the holder of an adjacent one, and merges adjacent ranges of one holder.
 */
final class RangeJoiner {
  /**
   * The largest load of a range that is joined to its neighbor, relative to an average upstream.
   */
  private static final double MAX_JOINED_LOAD = 0.05;

  /** The largest number of keys in such a range, because a move interrupts service for each key. */
  private static final int MAX_JOINED_KEYS = 512;

  private static final int MAX_JOINS_PER_ROUND = 4;

  /** The limit when no range may be divided any more, so that fragments make room for busy keys. */
  private static final int MAX_JOINS_PER_ROUND_IF_FULL = 20;

  private final PlanDraft draft;

  RangeJoiner(PlanDraft draft) {
    this.draft = draft;
  }

  /**
   * Joins idle ranges, in rounds without other changes or if there are too many ranges, and merges
   * what is adjacent.
   */
  void join() {
    if (!draft.mayDivide()) {
      joinIdleRanges(MAX_JOINS_PER_ROUND_IF_FULL);
    } else if (!draft.isChanged()) {
      joinIdleRanges(MAX_JOINS_PER_ROUND);
    }
    mergeAdjacentRanges();
  }

  /**
   * Moves small idle ranges of upstreams with many ranges to the holder of an adjacent range, with
   * which they are merged later. Busy keys leave such fragments behind once they are idle again.
   */
  private void joinIdleRanges(int maxJoins) {
    int joins = 0;
    for (RangeAssignment idle : idleRanges()) {
      if (joins == maxJoins) {
        return;
      }
      joins += joinToNeighbor(idle) ? 1 : 0;
    }
  }

  /** Returns the idle ranges of upstreams with many ranges, the smallest range first. */
  private ImmutableList<RangeAssignment> idleRanges() {
    double maxLoad = draft.load().total() / draft.candidates().size() * MAX_JOINED_LOAD;
    return draft.assignments().stream()
        .filter(this::isOfUpstreamWithMany)
        .filter(draft::isMovable)
        .filter(a -> !isNextToRangeOfSameHolder(a))
        .filter(a -> a.range().size() <= MAX_JOINED_KEYS)
        .filter(a -> draft.load().of(a.range()) <= maxLoad)
        .sorted(Comparator.comparingInt(a -> a.range().size()))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isOfUpstreamWithMany(RangeAssignment assignment) {
    int ranges = draft.rangesOf(assignment.holder().upstream());
    return ranges > RangeBalancer.MAX_RANGES_PER_UPSTREAM;
  }

  /** Returns whether a range is merged with a neighbor instead, which moves no keys. */
  private boolean isNextToRangeOfSameHolder(RangeAssignment assignment) {
    return draft.neighborsOf(assignment).stream()
        .anyMatch(n -> n.holder().equals(assignment.holder()));
  }

  private boolean joinToNeighbor(RangeAssignment assignment) {
    Optional<Candidate> neighbor = receivingNeighborOf(assignment);
    if (neighbor.isEmpty() || !isOfUpstreamWithMany(assignment)) {
      return false;
    }
    draft.move(assignment, assignment.range(), neighbor.get(), ReassignmentReason.JOIN);
    return true;
  }

  /**
   * Returns the less utilized of the other holders of adjacent ranges. A busy one that is more
   * utilized than the holder does not count, since it may have given the range away.
   */
  private Optional<Candidate> receivingNeighborOf(RangeAssignment assignment) {
    double holderUtilization = draft.holderOf(assignment).map(draft::utilization).orElse(0.0);
    double maxUtilization = Math.max(holderUtilization, RangeBalancer.MIN_DONOR_UTILIZATION);
    return draft.neighborsOf(assignment).stream()
        .flatMap(n -> draft.holderOf(n).stream())
        .filter(Candidate::acceptsMoreKeys)
        .filter(c -> !c.upstream().id().equals(assignment.holder().upstream()))
        .filter(c -> draft.mayReceive(assignment.range(), c))
        .filter(c -> draft.utilization(c) <= maxUtilization)
        .min(Comparator.comparingDouble(draft::utilization));
  }

  /** Merges adjacent ranges of one holder that may be moved. */
  private void mergeAdjacentRanges() {
    ImmutableList<RangeAssignment> fromLast = draft.assignments().reverse();
    RangeAssignment right = fromLast.get(0);
    for (RangeAssignment left : fromLast.subList(1, fromLast.size())) {
      boolean mergeable =
          left.holder().equals(right.holder()) && draft.isMovable(left) && draft.isMovable(right);
      right = mergeable ? draft.merge(left, right) : left;
    }
  }
}
