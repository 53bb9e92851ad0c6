package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.catkinlift.model.UpstreamId;

/**
 * A map that is being planned, with the load that it puts on each upstream.
 *
 * <p>Assignments are found by key and by upstream without a pass over all of them, because a round
 * of planning looks at each upstream many times.
 */
final class PlanDraft {
  /**
   * The number of ranges above which none is divided for balance. The number of renewals a second,
   * and the size of the map that each host reads, grow with it.
   */
  private static final int MAX_RANGES = 1_600;

  /** Ranges of each upstream that are always allowed, so that load can be balanced. */
  private static final int MIN_RANGES_PER_UPSTREAM = 4;

  private final KeyLoad load;
  private final Predicate<RangeAssignment> movable;
  private final BiPredicate<KeyRange, Holder> mayReceive;
  private final Map<UpstreamId, Candidate> candidates = new HashMap<>();
  private final Map<UpstreamId, Double> plannedLoad = new HashMap<>();
  private final NavigableMap<Integer, RangeAssignment> byFirstKey = new TreeMap<>();
  private final Map<UpstreamId, NavigableMap<Integer, RangeAssignment>> byUpstream =
      new HashMap<>();
  private final Map<Long, ReassignmentReason> reasons = new HashMap<>();
  private long nextFence;
  private boolean changed;

  /**
   * Creates a draft without assignments.
   *
   * @param nextFence the lowest unused fencing token
   * @param candidates the upstreams that may hold keys
   * @param load the load of each key
   * @param movable whether an assignment may be moved for balance
   * @param mayReceive whether an upstream may receive keys for balance
   */
  PlanDraft(
      long nextFence,
      Collection<Candidate> candidates,
      KeyLoad load,
      Predicate<RangeAssignment> movable,
      BiPredicate<KeyRange, Holder> mayReceive) {
    this.nextFence = nextFence;
    this.load = load;
    this.movable = movable;
    this.mayReceive = mayReceive;
    candidates.forEach(c -> this.candidates.put(c.upstream().id(), c));
  }

  KeyLoad load() {
    return load;
  }

  Collection<Candidate> candidates() {
    return candidates.values();
  }

  /** Returns the candidate that holds an assignment, or empty if its holder may hold no keys. */
  Optional<Candidate> holderOf(RangeAssignment assignment) {
    return Optional.ofNullable(candidates.get(assignment.holder().upstream()));
  }

  boolean isMovable(RangeAssignment assignment) {
    return movable.test(assignment);
  }

  boolean mayReceive(KeyRange range, Candidate candidate) {
    return mayReceive.test(range, Holder.of(candidate.upstream()));
  }

  double utilization(Candidate candidate) {
    return plannedLoad.getOrDefault(candidate.upstream().id(), 0.0) / candidate.capacity();
  }

  double meanUtilization() {
    return load.total() / candidates().stream().mapToDouble(Candidate::capacity).sum();
  }

  /** Returns whether the draft differs from the map that it was made from. */
  boolean isChanged() {
    return changed;
  }

  int rangeCount() {
    return byFirstKey.size();
  }

  /** Returns whether a range may be divided for balance. */
  boolean mayDivide() {
    return rangeCount() < Math.max(MAX_RANGES, MIN_RANGES_PER_UPSTREAM * candidates.size());
  }

  /** Returns all assignments in key order. */
  ImmutableList<RangeAssignment> assignments() {
    return ImmutableList.copyOf(byFirstKey.values());
  }

  /** Returns the assignments of an upstream in key order. */
  ImmutableList<RangeAssignment> assignmentsOf(UpstreamId upstream) {
    return ImmutableList.copyOf(byUpstream.getOrDefault(upstream, new TreeMap<>()).values());
  }

  int rangesOf(UpstreamId upstream) {
    return byUpstream.getOrDefault(upstream, new TreeMap<>()).size();
  }

  int rangesOf(Candidate candidate) {
    return rangesOf(candidate.upstream().id());
  }

  /** Returns the assignments right before and after one. */
  ImmutableList<RangeAssignment> neighborsOf(RangeAssignment assignment) {
    ImmutableList.Builder<RangeAssignment> neighbors = ImmutableList.builder();
    int first = assignment.range().first();
    Optional.ofNullable(byFirstKey.lowerEntry(first)).ifPresent(e -> neighbors.add(e.getValue()));
    Optional.ofNullable(byFirstKey.higherEntry(first)).ifPresent(e -> neighbors.add(e.getValue()));
    return neighbors.build();
  }

  /** Adds an assignment as it is. */
  void keep(RangeAssignment assignment) {
    int first = assignment.range().first();
    UpstreamId upstream = assignment.holder().upstream();
    byFirstKey.put(first, assignment);
    byUpstream.computeIfAbsent(upstream, u -> new TreeMap<>()).put(first, assignment);
    plannedLoad.merge(upstream, load.of(assignment.range()), Double::sum);
  }

  /** Adds an assignment of keys to a new holder. */
  void assign(
      KeyRange range,
      Candidate target,
      ImmutableList<Holder> previousHolders,
      ReassignmentReason reason) {
    Holder holder = Holder.of(target.upstream());
    ImmutableList<Holder> others =
        previousHolders.stream()
            .filter(p -> !p.destination().equals(holder.destination()))
            .collect(ImmutableList.toImmutableList());
    keep(new RangeAssignment(range, holder, newFence(reason), others));
  }

  /** Moves some keys of an assignment to another upstream; the rest stays with its holder. */
  void move(
      RangeAssignment assignment, KeyRange part, Candidate receiver, ReassignmentReason reason) {
    remove(assignment);
    assign(part, receiver, possibleHolders(assignment), reason);
    for (KeyRange rest : assignment.range().minus(part)) {
      keep(assignment.withRange(rest));
    }
  }

  /** Replaces two adjacent assignments of one holder by one. */
  RangeAssignment merge(RangeAssignment left, RangeAssignment right) {
    remove(left);
    remove(right);
    var range = new KeyRange(left.range().first(), right.range().last());
    long fence = newFence(ReassignmentReason.MERGE);
    var merged = new RangeAssignment(range, left.holder(), fence, ImmutableList.of());
    keep(merged);
    return merged;
  }

  private void remove(RangeAssignment assignment) {
    int first = assignment.range().first();
    UpstreamId upstream = assignment.holder().upstream();
    byFirstKey.remove(first);
    byUpstream.get(upstream).remove(first);
    plannedLoad.merge(upstream, -load.of(assignment.range()), Double::sum);
  }

  /** Returns an unused fencing token for a change of the map. */
  private long newFence(ReassignmentReason reason) {
    changed = true;
    reasons.put(nextFence, reason);
    return nextFence++;
  }

  /**
   * Returns the holders that may still hold keys of an assignment once its holder is replaced. A
   * later incarnation of an upstream is no proof that no grant reached it, so incarnations count as
   * one holder.
   */
  static ImmutableList<Holder> possibleHolders(RangeAssignment assignment) {
    Map<GrantDestination, Holder> holders = new LinkedHashMap<>();
    if (assignment.fence() > 0) {
      holders.put(assignment.holder().destination(), assignment.holder());
    }
    assignment.previousHolders().forEach(p -> holders.putIfAbsent(p.destination(), p));
    return ImmutableList.copyOf(holders.values());
  }

  /** Returns the planned map, or empty if nothing was changed. */
  Optional<RangePlan> result() {
    return changed
        ? Optional.of(
            new RangePlan(new RangeMap(nextFence, assignments()), ImmutableMap.copyOf(reasons)))
        : Optional.empty();
  }
}
