package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.model.UpstreamId;

/**
 * Moves pieces of ranges from the most to the least utilized upstreams, a bounded number in each
 * round, provided that the difference exceeds the measurement noise. Hot keys tend to be adjacent,
 * so ranges are divided by load and not by the number of keys.
 */
final class RangeBalancer {
  /** Difference in utilization, relative to the mean, that starts a move. */
  private static final double MIN_RELATIVE_DIFFERENCE = 0.4;

  /** Utilization below which no load is moved away from an upstream. */
  static final double MIN_DONOR_UTILIZATION = 0.25;

  /** Utilization above which requests have to be rejected. */
  private static final double OVERLOAD_UTILIZATION = 1;

  /**
   * A hot key moves if the new holder's utilization is at most this fraction of the old holder's.
   */
  private static final double MAX_UTILIZATION_RATIO_AFTER_MOVE = 0.65;

  /** A piece with a smaller share of the load that has to move isn't worth a move. */
  private static final double MIN_MOVED_SHARE = 0.25;

  private static final int MAX_MOVES_PER_ROUND = 60;

  /** Limit on moves that only even out the load, while no upstream is overloaded. */
  private static final int MAX_MOVES_WITHOUT_OVERLOAD = 10;

  /** Bounds the number of grants: balancing moves no range to an upstream with this many ranges. */
  static final int MAX_RANGES_PER_UPSTREAM = 6;

  /** The limit for busy keys, which are moved out of ranges one by one. */
  private static final int MAX_RANGES_WITH_BUSY_KEYS = 16;

  private final PlanDraft draft;
  private final KeyLoad load;
  private final double meanUtilization;

  RangeBalancer(PlanDraft draft) {
    this.draft = draft;
    this.load = draft.load();
    this.meanUtilization = draft.meanUtilization();
  }

  /** Plans the moves of one round. */
  void balance() {
    Set<UpstreamId> exhaustedDonors = new HashSet<>();
    for (int moves = 0; moves < MAX_MOVES_PER_ROUND; moves++) {
      Optional<Candidate> donor = mostUtilized(exhaustedDonors);
      if (donor.isEmpty()) {
        break;
      }
      boolean isOverloaded = draft.utilization(donor.get()) > OVERLOAD_UTILIZATION;
      if (moves >= MAX_MOVES_WITHOUT_OVERLOAD && !isOverloaded) {
        break;
      }
      if (!movePieceToReceiver(donor.get()) && !moveBusiestKey(donor.get())) {
        exhaustedDonors.add(donor.get().upstream().id());
      }
    }
  }

  private Optional<Candidate> mostUtilized(Set<UpstreamId> except) {
    return draft.candidates().stream()
        .filter(c -> !except.contains(c.upstream().id()))
        .max(Comparator.comparingDouble(draft::utilization).thenComparing(c -> c.upstream().id()));
  }

  /** Moves a piece to the least utilized upstream that may receive one of the donor's ranges. */
  private boolean movePieceToReceiver(Candidate donor) {
    ImmutableList<RangeAssignment> movableRanges = movableRanges(donor);
    if (movableRanges.isEmpty()) {
      return false;
    }
    for (Candidate receiver : receivers(donor)) {
      ImmutableList<RangeAssignment> receivable =
          movableRanges.stream()
              .filter(a -> draft.mayReceive(a.range(), receiver))
              .collect(ImmutableList.toImmutableList());
      if (!receivable.isEmpty()) {
        return movePiece(receivable, donor, receiver);
      }
    }
    return false;
  }

  /** Returns the ranges of an upstream that may move, the one with the most load first. */
  private ImmutableList<RangeAssignment> movableRanges(Candidate donor) {
    return draft.assignmentsOf(donor.upstream().id()).stream()
        .filter(draft::isMovable)
        .sorted(Comparator.comparingDouble((RangeAssignment a) -> load.of(a.range())).reversed())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the upstreams to which load of a donor may move, the least utilized first. */
  private ImmutableList<Candidate> receivers(Candidate donor) {
    double minDifference =
        MIN_RELATIVE_DIFFERENCE * Math.max(meanUtilization, MIN_DONOR_UTILIZATION);
    double donorUtilization = draft.utilization(donor);
    return draft.candidates().stream()
        .filter(c -> c.acceptsMoreKeys() && draft.rangesOf(c) < MAX_RANGES_PER_UPSTREAM)
        .filter(
            c ->
                draft.rangesOf(c) == 0
                    || (donorUtilization > MIN_DONOR_UTILIZATION
                        && donorUtilization - draft.utilization(c) > minDifference))
        .sorted(
            Comparator.comparingDouble(draft::utilization).thenComparing(c -> c.upstream().id()))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean movePiece(List<RangeAssignment> owned, Candidate donor, Candidate receiver) {
    double loadToMove = loadToMove(donor, receiver);
    for (RangeAssignment assignment : owned) {
      if (moveEdge(assignment, receiver, loadToMove)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns how much load a receiver should get: enough to equalize the utilization of both, but
   * not more than raises the receiver to the mean, so that hot adjacent keys are spread over many
   * upstreams in one round.
   */
  private double loadToMove(Candidate donor, Candidate receiver) {
    double difference = draft.utilization(donor) - draft.utilization(receiver);
    double toEqualize = difference / (1 / donor.capacity() + 1 / receiver.capacity());
    double toMean =
        (Math.max(meanUtilization, MIN_DONOR_UTILIZATION) - draft.utilization(receiver))
            * receiver.capacity();
    return toMean > 0 ? Math.min(toEqualize, toMean) : toEqualize;
  }

  /** Moves keys from the start or the end of a range, whichever have more load. */
  private boolean moveEdge(RangeAssignment assignment, Candidate receiver, double loadToMove) {
    KeyRange range = assignment.range();
    int fromStart = load.keysFromStart(range, loadToMove);
    int fromEnd = load.keysFromEnd(range, loadToMove);
    if (fromStart == 0 && fromEnd == 0) {
      return false;
    }
    boolean atStart =
        fromEnd == 0
            || (fromStart > 0
                && load.of(range.firstKeys(fromStart)) >= load.of(range.lastKeys(fromEnd)));
    KeyRange edge = atStart ? range.firstKeys(fromStart) : range.lastKeys(fromEnd);
    if (load.of(edge) < loadToMove * MIN_MOVED_SHARE || !mayMove(edge, assignment)) {
      return false;
    }
    draft.move(assignment, edge, receiver, ReassignmentReason.BALANCE);
    return true;
  }

  private boolean mayMove(KeyRange part, RangeAssignment assignment) {
    return draft.mayDivide() || part.equals(assignment.range());
  }

  /**
   * Moves the busiest single key of an overloaded upstream to one with more capacity for it. The
   * load of such a key cannot be divided, so the capacity of its holder decides how many of its
   * requests are served.
   */
  private boolean moveBusiestKey(Candidate donor) {
    if (draft.utilization(donor) <= OVERLOAD_UTILIZATION
        || draft.rangesOf(donor) >= MAX_RANGES_WITH_BUSY_KEYS) {
      return false;
    }
    Optional<RangeAssignment> busiest =
        draft.assignmentsOf(donor.upstream().id()).stream()
            .filter(draft::isMovable)
            .max(Comparator.comparingDouble(a -> load.of(a.range())));
    if (busiest.isEmpty()) {
      return false;
    }
    int key = load.busiestKey(busiest.get().range());
    var range = new KeyRange(key, key);
    if (!mayMove(range, busiest.get())) {
      return false;
    }
    Optional<Candidate> receiver = receiverOfKey(range, donor);
    receiver.ifPresent(r -> draft.move(busiest.get(), range, r, ReassignmentReason.BUSY_KEY));
    return receiver.isPresent();
  }

  private Optional<Candidate> receiverOfKey(KeyRange key, Candidate donor) {
    double keyLoad = load.of(key);
    double maxUtilization = draft.utilization(donor) * MAX_UTILIZATION_RATIO_AFTER_MOVE;
    return draft.candidates().stream()
        .filter(c -> c.acceptsMoreKeys() && draft.rangesOf(c) < MAX_RANGES_WITH_BUSY_KEYS)
        .filter(c -> !c.upstream().id().equals(donor.upstream().id()))
        .filter(c -> draft.mayReceive(key, c))
        .min(Comparator.comparingDouble(c -> utilizationWith(keyLoad, c)))
        .filter(c -> utilizationWith(keyLoad, c) <= maxUtilization);
  }

  private double utilizationWith(double moreLoad, Candidate candidate) {
    return draft.utilization(candidate) + moreLoad / candidate.capacity();
  }
}
