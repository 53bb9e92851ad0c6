package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.catkinlift.model.UpstreamId;

/**
 * Assigns key ranges to upstreams.
 *
 * <p>Keys whose holder may not keep them go to the upstreams with the lowest utilization, divided
 * into several pieces where a single piece would overload the new holder. If the map needs no such
 * change, pieces move from the most to the least utilized upstream, a bounded number in each round,
 * provided that the difference exceeds the measurement noise. Hot keys tend to be adjacent, so
 * ranges are divided by load and not by the number of keys.
 */
public final class RangePlanner {
  /** Share of an average upstream's load above which an unassigned range is divided. */
  private static final double MAX_PIECE_SHARE = 0.5;

  /** Difference in utilization, relative to the mean, that starts a move. */
  private static final double MIN_RELATIVE_DIFFERENCE = 0.4;

  /** Utilization below which no load is moved away from an upstream. */
  private static final double MIN_DONOR_UTILIZATION = 0.25;

  /** Utilization above which requests have to be rejected. */
  private static final double OVERLOAD_UTILIZATION = 1;

  /**
   * A hot key moves if the new holder's utilization is at most this fraction of the old holder's.
   */
  private static final double MAX_UTILIZATION_RATIO_AFTER_MOVE = 0.65;

  private static final int MAX_MOVES_PER_ROUND = 60;

  /** Limit on moves that only even out the load, while no upstream is overloaded. */
  private static final int MAX_MOVES_WITHOUT_OVERLOAD = 10;

  /** Bounds the number of grants: balancing moves no range to an upstream with this many ranges. */
  private static final int MAX_RANGES_PER_UPSTREAM = 6;

  /** The limit for busy keys, which are moved out of ranges one by one. */
  private static final int MAX_RANGES_WITH_BUSY_KEYS = 16;

  /**
   * The largest load of a range that is joined to its neighbor, relative to an average upstream.
   */
  private static final double MAX_JOINED_LOAD = 0.05;

  /** The largest number of keys in such a range, because a move interrupts service for each key. */
  private static final int MAX_JOINED_KEYS = 512;

  private static final int MAX_JOINS_PER_ROUND = 4;

  private static final Comparator<RangeAssignment> BY_FIRST_KEY =
      Comparator.comparingInt(a -> a.range().first());

  private final KeyLoad load;
  private final Map<UpstreamId, Candidate> candidates = new HashMap<>();
  private final Map<UpstreamId, Double> plannedLoad = new HashMap<>();
  private final List<RangeAssignment> assignments = new ArrayList<>();
  private final Map<Long, ReassignmentReason> reasons = new HashMap<>();
  private final BiPredicate<KeyRange, Holder> mayReceive;
  private long nextFence;
  private boolean changed;

  private RangePlanner(
      RangeMap map,
      Collection<Candidate> candidates,
      KeyLoad load,
      BiPredicate<KeyRange, Holder> mayReceive) {
    this.load = load;
    this.mayReceive = mayReceive;
    this.nextFence = map.nextFence();
    candidates.forEach(c -> this.candidates.put(c.upstream().id(), c));
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
    var planner = new RangePlanner(map, candidates, load, mayReceive);
    planner.keepOrReassign(map);
    if (!planner.changed) {
      planner.balance(movable);
    }
    return planner.result();
  }

  private Optional<RangePlan> result() {
    if (!changed) {
      return Optional.empty();
    }
    assignments.sort(BY_FIRST_KEY);
    var map = new RangeMap(nextFence, ImmutableList.copyOf(assignments));
    return Optional.of(new RangePlan(map, ImmutableMap.copyOf(reasons)));
  }

  private void keepOrReassign(RangeMap map) {
    List<RangeAssignment> unassigned = new ArrayList<>();
    for (RangeAssignment assignment : map.assignments()) {
      Candidate candidate = candidates.get(assignment.holder().upstream());
      if (candidate == null) {
        unassigned.add(assignment);
      } else if (Holder.of(candidate.upstream()).equals(assignment.holder())) {
        keep(assignment);
      } else {
        assign(
            assignment.range(),
            candidate,
            possibleHolders(assignment),
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
    Candidate any = candidates.values().iterator().next();
    return new RangeAssignment(KeyRange.ALL, Holder.of(any.upstream()), 0, ImmutableList.of());
  }

  /**
   * Returns the holders that may still hold keys of an assignment once its holder is replaced. A
   * later incarnation of an upstream is no proof that no grant reached it, so incarnations count as
   * one holder.
   */
  private static ImmutableList<Holder> possibleHolders(RangeAssignment assignment) {
    Map<GrantDestination, Holder> holders = new LinkedHashMap<>();
    if (assignment.fence() > 0) {
      holders.put(assignment.holder().destination(), assignment.holder());
    }
    assignment.previousHolders().forEach(p -> holders.putIfAbsent(p.destination(), p));
    return ImmutableList.copyOf(holders.values());
  }

  private void keep(RangeAssignment assignment) {
    assignments.add(assignment);
    plannedLoad.merge(assignment.holder().upstream(), load.of(assignment.range()), Double::sum);
  }

  private void assign(
      KeyRange range,
      Candidate target,
      ImmutableList<Holder> previousHolders,
      ReassignmentReason reason) {
    Holder holder = Holder.of(target.upstream());
    ImmutableList<Holder> others = othersThan(holder, previousHolders);
    keep(new RangeAssignment(range, holder, newFence(reason), others));
  }

  /** Returns an unused fencing token for a change of the map. */
  private long newFence(ReassignmentReason reason) {
    changed = true;
    reasons.put(nextFence, reason);
    return nextFence++;
  }

  private void reassign(RangeAssignment assignment) {
    ImmutableList<Holder> previousHolders = possibleHolders(assignment);
    ReassignmentReason reason =
        assignment.fence() == 0 ? ReassignmentReason.FIRST_HOLDER : ReassignmentReason.HOLDER_LEFT;
    double maxPiece = maxPieceLoadPerSlot();
    KeyRange rest = assignment.range();
    while (true) {
      Candidate target = leastUtilized(rest);
      int count = Math.max(1, load.keysFromStart(rest, maxPiece * target.capacity()));
      // A short remainder is assigned together with the piece before it.
      if (count >= rest.size() || load.of(rest) <= maxPiece * target.capacity() * 1.5) {
        assign(rest, target, previousHolders, reason);
        return;
      }
      assign(new KeyRange(rest.first(), rest.first() + count - 1), target, previousHolders, reason);
      rest = new KeyRange(rest.first() + count, rest.last());
    }
  }

  /** Returns the largest load of a piece for each slot of its new holder. */
  private double maxPieceLoadPerSlot() {
    double capacity = candidates.values().stream().mapToDouble(Candidate::capacity).sum();
    double share = assignments.isEmpty() ? 1 : MAX_PIECE_SHARE;
    return load.total() / capacity * share;
  }

  private Candidate leastUtilized(KeyRange range) {
    return candidates.values().stream()
        .min(
            Comparator.comparing((Candidate c) -> !c.acceptsMoreKeys())
                .thenComparing(c -> !mayReceive.test(range, Holder.of(c.upstream())))
                .thenComparingDouble(this::utilization)
                .thenComparing(c -> c.upstream().id()))
        .orElseThrow();
  }

  private double utilization(Candidate candidate) {
    return plannedLoad.getOrDefault(candidate.upstream().id(), 0.0) / candidate.capacity();
  }

  private void balance(Predicate<RangeAssignment> movable) {
    double meanUtilization =
        load.total() / candidates.values().stream().mapToDouble(Candidate::capacity).sum();
    Set<UpstreamId> exhaustedDonors = new HashSet<>();
    for (int moves = 0; moves < MAX_MOVES_PER_ROUND; moves++) {
      Optional<Candidate> donor = mostUtilized(exhaustedDonors);
      if (donor.isEmpty()) {
        break;
      }
      boolean isOverloaded = utilization(donor.get()) > OVERLOAD_UTILIZATION;
      if (moves >= MAX_MOVES_WITHOUT_OVERLOAD && !isOverloaded) {
        break;
      }
      boolean moved =
          movePieceToReceiver(donor.get(), meanUtilization, movable)
              || moveBusiestKey(donor.get(), movable);
      if (!moved) {
        exhaustedDonors.add(donor.get().upstream().id());
      }
    }
    assignments.sort(BY_FIRST_KEY);
    if (!changed) {
      joinIdleRanges(movable);
    }
    mergeAdjacentRanges(movable);
  }

  /**
   * Moves small idle ranges of upstreams with many ranges to the holder of an adjacent range, with
   * which they are merged later. Called in rounds without other moves. Busy keys leave such
   * fragments behind once they are idle again, and each of them costs a grant call in every renewal
   * interval.
   */
  private void joinIdleRanges(Predicate<RangeAssignment> movable) {
    Map<UpstreamId, Integer> ranges = countRanges();
    int joins = 0;
    for (int index : idleRanges(ranges, movable)) {
      if (joins == MAX_JOINS_PER_ROUND) {
        return;
      }
      joins += joinToNeighbor(index, ranges) ? 1 : 0;
    }
  }

  /** Returns the indexes of idle ranges of upstreams with many ranges, the smallest range first. */
  private List<Integer> idleRanges(
      Map<UpstreamId, Integer> ranges, Predicate<RangeAssignment> movable) {
    double maxLoad = load.total() / candidates.size() * MAX_JOINED_LOAD;
    return IntStream.range(0, assignments.size())
        .filter(i -> hasMany(assignments.get(i), ranges))
        .filter(i -> movable.test(assignments.get(i)))
        .filter(i -> !isNextToRangeOfSameHolder(i))
        .filter(i -> assignments.get(i).range().size() <= MAX_JOINED_KEYS)
        .filter(i -> load.of(assignments.get(i).range()) <= maxLoad)
        .boxed()
        .sorted(Comparator.comparingInt(i -> assignments.get(i).range().size()))
        .toList();
  }

  /** Returns whether a range is merged with a neighbor instead, which moves no keys. */
  private boolean isNextToRangeOfSameHolder(int index) {
    Holder holder = assignments.get(index).holder();
    return adjacentTo(index).anyMatch(i -> assignments.get(i).holder().equals(holder));
  }

  private IntStream adjacentTo(int index) {
    return IntStream.of(index - 1, index + 1).filter(i -> i >= 0 && i < assignments.size());
  }

  private static boolean hasMany(RangeAssignment assignment, Map<UpstreamId, Integer> ranges) {
    return ranges.get(assignment.holder().upstream()) > MAX_RANGES_PER_UPSTREAM;
  }

  private boolean joinToNeighbor(int index, Map<UpstreamId, Integer> ranges) {
    RangeAssignment assignment = assignments.get(index);
    Optional<Candidate> neighbor = neighborOf(index);
    if (neighbor.isEmpty() || !hasMany(assignment, ranges)) {
      return false;
    }
    assignments.set(index, movedTo(assignment, neighbor.get()));
    ranges.merge(assignment.holder().upstream(), -1, Integer::sum);
    return true;
  }

  private Map<UpstreamId, Integer> countRanges() {
    Map<UpstreamId, Integer> ranges = new HashMap<>();
    assignments.forEach(a -> ranges.merge(a.holder().upstream(), 1, Integer::sum));
    return ranges;
  }

  /**
   * Returns the less utilized of the other holders of adjacent ranges. A busy one that is more
   * utilized than the holder does not count, since it may have given the range away.
   */
  private Optional<Candidate> neighborOf(int index) {
    RangeAssignment assignment = assignments.get(index);
    double maxUtilization =
        Math.max(
            utilization(candidates.get(assignment.holder().upstream())), MIN_DONOR_UTILIZATION);
    return adjacentTo(index)
        .mapToObj(i -> candidates.get(assignments.get(i).holder().upstream()))
        .filter(c -> c != null && c.acceptsMoreKeys())
        .filter(c -> !c.upstream().id().equals(assignment.holder().upstream()))
        .filter(c -> mayReceive.test(assignment.range(), Holder.of(c.upstream())))
        .filter(c -> utilization(c) <= maxUtilization)
        .min(Comparator.comparingDouble(this::utilization));
  }

  private RangeAssignment movedTo(RangeAssignment assignment, Candidate target) {
    double moved = load.of(assignment.range());
    plannedLoad.merge(assignment.holder().upstream(), -moved, Double::sum);
    plannedLoad.merge(target.upstream().id(), moved, Double::sum);
    Holder holder = Holder.of(target.upstream());
    return new RangeAssignment(
        assignment.range(),
        holder,
        newFence(ReassignmentReason.JOIN),
        othersThan(holder, possibleHolders(assignment)));
  }

  private static ImmutableList<Holder> othersThan(Holder holder, List<Holder> previousHolders) {
    return previousHolders.stream()
        .filter(p -> !p.destination().equals(holder.destination()))
        .collect(ImmutableList.toImmutableList());
  }

  private Optional<Candidate> mostUtilized(Set<UpstreamId> except) {
    return candidates.values().stream()
        .filter(c -> !except.contains(c.upstream().id()))
        .max(Comparator.comparingDouble(this::utilization).thenComparing(c -> c.upstream().id()));
  }

  /** Moves a piece to the least utilized upstream that may receive one of the donor's ranges. */
  private boolean movePieceToReceiver(
      Candidate donor, double meanUtilization, Predicate<RangeAssignment> movable) {
    ImmutableList<RangeAssignment> movableRanges = movableRanges(donor, movable);
    for (Candidate receiver : receivers(donor, meanUtilization)) {
      ImmutableList<RangeAssignment> receivable =
          movableRanges.stream()
              .filter(a -> mayReceive.test(a.range(), Holder.of(receiver.upstream())))
              .collect(ImmutableList.toImmutableList());
      if (!receivable.isEmpty()) {
        return movePiece(receivable, donor, receiver, meanUtilization);
      }
    }
    return false;
  }

  private ImmutableList<RangeAssignment> movableRanges(
      Candidate donor, Predicate<RangeAssignment> movable) {
    return assignments.stream()
        .filter(a -> a.holder().upstream().equals(donor.upstream().id()))
        .filter(movable)
        .sorted(Comparator.comparingDouble((RangeAssignment a) -> load.of(a.range())).reversed())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the upstreams to which load of a donor may move, the least utilized first. */
  private ImmutableList<Candidate> receivers(Candidate donor, double meanUtilization) {
    double minDifference =
        MIN_RELATIVE_DIFFERENCE * Math.max(meanUtilization, MIN_DONOR_UTILIZATION);
    double donorUtilization = utilization(donor);
    return candidates.values().stream()
        .filter(c -> c.acceptsMoreKeys() && rangesOf(c) < MAX_RANGES_PER_UPSTREAM)
        .filter(
            c ->
                rangesOf(c) == 0
                    || (donorUtilization > MIN_DONOR_UTILIZATION
                        && donorUtilization - utilization(c) > minDifference))
        .sorted(Comparator.comparingDouble(this::utilization).thenComparing(c -> c.upstream().id()))
        .collect(ImmutableList.toImmutableList());
  }

  private long rangesOf(Candidate candidate) {
    return assignments.stream()
        .filter(a -> a.holder().upstream().equals(candidate.upstream().id()))
        .count();
  }

  private boolean movePiece(
      List<RangeAssignment> owned, Candidate donor, Candidate receiver, double meanUtilization) {
    double loadToMove = loadToMove(donor, receiver, meanUtilization);
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
  private double loadToMove(Candidate donor, Candidate receiver, double meanUtilization) {
    double difference = utilization(donor) - utilization(receiver);
    double toEqualize = difference / (1 / donor.capacity() + 1 / receiver.capacity());
    double toMean =
        (Math.max(meanUtilization, MIN_DONOR_UTILIZATION) - utilization(receiver))
            * receiver.capacity();
    return toMean > 0 ? Math.min(toEqualize, toMean) : toEqualize;
  }

  private boolean moveEdge(RangeAssignment assignment, Candidate receiver, double loadToMove) {
    KeyRange range = assignment.range();
    int fromStart = load.keysFromStart(range, loadToMove);
    int fromEnd = load.keysFromEnd(range, loadToMove);
    if (fromStart == 0 && fromEnd == 0) {
      return false;
    }
    boolean atStart =
        fromEnd == 0
            || (fromStart > 0 && loadAtStart(range, fromStart) >= loadAtEnd(range, fromEnd));
    double movedLoad = atStart ? loadAtStart(range, fromStart) : loadAtEnd(range, fromEnd);
    if (movedLoad < loadToMove / 4) {
      return false;
    }
    splitAndMove(assignment, atStart, atStart ? fromStart : fromEnd, receiver);
    return true;
  }

  /**
   * Moves the busiest single key of an overloaded upstream to one with more capacity for it. The
   * load of such a key cannot be divided, so the capacity of its holder decides how many of its
   * requests are served.
   */
  private boolean moveBusiestKey(Candidate donor, Predicate<RangeAssignment> movable) {
    if (utilization(donor) <= OVERLOAD_UTILIZATION
        || rangesOf(donor) >= MAX_RANGES_WITH_BUSY_KEYS) {
      return false;
    }
    Optional<RangeAssignment> busiest =
        assignments.stream()
            .filter(a -> a.holder().upstream().equals(donor.upstream().id()))
            .filter(movable)
            .max(Comparator.comparingDouble(a -> load.of(a.range())));
    if (busiest.isEmpty()) {
      return false;
    }
    int key = load.busiestKey(busiest.get().range());
    double keyLoad = load.of(new KeyRange(key, key));
    Optional<Candidate> receiver =
        candidates.values().stream()
            .filter(c -> c.acceptsMoreKeys() && rangesOf(c) < MAX_RANGES_WITH_BUSY_KEYS)
            .filter(c -> !c.upstream().id().equals(donor.upstream().id()))
            .filter(c -> mayReceive.test(new KeyRange(key, key), Holder.of(c.upstream())))
            .min(Comparator.comparingDouble(c -> utilization(c) + keyLoad / c.capacity()));
    if (receiver.isEmpty()
        || utilization(receiver.get()) + keyLoad / receiver.get().capacity()
            > utilization(donor) * MAX_UTILIZATION_RATIO_AFTER_MOVE) {
      return false;
    }
    splitOutKey(busiest.get(), key, receiver.get());
    return true;
  }

  private void splitOutKey(RangeAssignment assignment, int key, Candidate receiver) {
    KeyRange range = assignment.range();
    assignments.remove(assignment);
    plannedLoad.merge(assignment.holder().upstream(), -load.of(range), Double::sum);
    assign(
        new KeyRange(key, key), receiver, possibleHolders(assignment), ReassignmentReason.BUSY_KEY);
    if (key > range.first()) {
      keep(assignment.withRange(new KeyRange(range.first(), key - 1)));
    }
    if (key < range.last()) {
      keep(assignment.withRange(new KeyRange(key + 1, range.last())));
    }
  }

  private double loadAtStart(KeyRange range, int count) {
    return load.of(range.firstKeys(count));
  }

  private double loadAtEnd(KeyRange range, int count) {
    return load.of(range.lastKeys(count));
  }

  private void splitAndMove(
      RangeAssignment assignment, boolean atStart, int count, Candidate receiver) {
    KeyRange range = assignment.range();
    assignments.remove(assignment);
    plannedLoad.merge(assignment.holder().upstream(), -load.of(range), Double::sum);
    ImmutableList<Holder> previousHolders = possibleHolders(assignment);
    if (count >= range.size()) {
      assign(range, receiver, previousHolders, ReassignmentReason.BALANCE);
      return;
    }
    int boundary = atStart ? range.first() + count : range.last() - count + 1;
    var left = new KeyRange(range.first(), boundary - 1);
    var right = new KeyRange(boundary, range.last());
    assign(atStart ? left : right, receiver, previousHolders, ReassignmentReason.BALANCE);
    keep(assignment.withRange(atStart ? right : left));
  }

  /** Merges adjacent ranges of one holder that may be moved, to keep the number of grants low. */
  private void mergeAdjacentRanges(Predicate<RangeAssignment> movable) {
    for (int i = assignments.size() - 1; i > 0; i--) {
      RangeAssignment left = assignments.get(i - 1);
      RangeAssignment right = assignments.get(i);
      if (left.holder().equals(right.holder()) && movable.test(left) && movable.test(right)) {
        var merged = new KeyRange(left.range().first(), right.range().last());
        assignments.remove(i);
        long fence = newFence(ReassignmentReason.MERGE);
        assignments.set(
            i - 1, new RangeAssignment(merged, left.holder(), fence, ImmutableList.of()));
      }
    }
  }
}
