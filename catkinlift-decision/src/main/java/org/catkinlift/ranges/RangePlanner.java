package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Assigns ranges of keys to upstreams.
 *
 * <p>Keys whose holder may not keep them go to the upstreams with the least work for their
 * capacity, in several pieces where one piece would overload the new holder. After that, pieces
 * move from the busiest upstream to the least busy one, a few in each round, if the difference is
 * larger than the noise of the measurement. Busy keys are neighbours, so pieces are cut by work and
 * not by the number of keys.
 */
public final class RangePlanner {
  /** Share of an average upstream's work above which a piece without a holder is divided. */
  private static final double LARGEST_PIECE = 0.5;

  /** Difference in work per capacity, relative to the mean, that starts a move. */
  private static final double IMBALANCE = 0.4;

  /** Work per capacity below which an upstream is never relieved. */
  private static final double RELIEVED_ABOVE = 0.25;

  /** Work per capacity above which requests have to be rejected. */
  private static final double OVERLOADED = 1;

  /** A busy key moves if its new holder would be less busy by this factor. */
  private static final double FASTER_ENOUGH = 0.65;

  private static final int MOVES_PER_ROUND = 60;

  /** Fewer moves are made to even out work that all upstreams bear. */
  private static final int MOVES_WITHOUT_OVERLOAD = 10;

  /** Bounds the number of grants: an upstream with more ranges gains none by balancing. */
  private static final int MOST_RANGES = 6;

  private static final Comparator<RangeAssignment> BY_FIRST_KEY =
      Comparator.comparingInt(a -> a.range().first());

  private final KeyLoad load;
  private final Map<UpstreamId, Candidate> candidates = new HashMap<>();
  private final Map<UpstreamId, Double> planned = new HashMap<>();
  private final Collection<UpstreamRecord> known;
  private final List<RangeAssignment> assignments = new ArrayList<>();
  private long nextFence;
  private boolean changed;

  private RangePlanner(
      RangeMap map,
      Collection<Candidate> candidates,
      Collection<UpstreamRecord> known,
      KeyLoad load) {
    this.load = load;
    this.known = known;
    this.nextFence = map.nextFence();
    candidates.forEach(c -> this.candidates.put(c.upstream().id(), c));
  }

  /**
   * Plans the next map.
   *
   * @param map the present map
   * @param candidates the upstreams that may hold keys
   * @param known all upstreams that state something about themselves, of any service
   * @param load the work of each key
   * @param movable whether an assignment may move for balance
   * @return the next map, or empty if the present one is kept
   */
  public static Optional<RangeMap> plan(
      RangeMap map,
      Collection<Candidate> candidates,
      Collection<UpstreamRecord> known,
      KeyLoad load,
      Predicate<RangeAssignment> movable) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    var planner = new RangePlanner(map, candidates, known, load);
    planner.keepOrReplace(map);
    if (!planner.changed) {
      planner.balance(movable);
    }
    return planner.result();
  }

  private Optional<RangeMap> result() {
    if (!changed) {
      return Optional.empty();
    }
    assignments.sort(BY_FIRST_KEY);
    return Optional.of(new RangeMap(nextFence, ImmutableList.copyOf(assignments)));
  }

  private void keepOrReplace(RangeMap map) {
    List<RangeAssignment> homeless = new ArrayList<>();
    for (RangeAssignment assignment : map.assignments()) {
      Candidate candidate = candidates.get(assignment.holder().upstream());
      if (candidate == null) {
        homeless.add(assignment);
      } else if (Holder.of(candidate.upstream()).equals(assignment.holder())) {
        keep(withoutEnded(assignment));
      } else {
        place(assignment.range(), candidate, remaining(assignment));
      }
    }
    if (map.assignments().isEmpty()) {
      homeless.add(firstAssignment());
    }
    homeless.sort(Comparator.comparingDouble((RangeAssignment a) -> load.of(a.range())).reversed());
    homeless.forEach(this::replace);
  }

  /** Stands for all keys before anyone holds them. */
  private RangeAssignment firstAssignment() {
    Candidate any = candidates.values().iterator().next();
    return new RangeAssignment(KeyRange.ALL, Holder.of(any.upstream()), 0, ImmutableList.of());
  }

  private RangeAssignment withoutEnded(RangeAssignment assignment) {
    ImmutableList<Holder> left =
        assignment.previous().stream()
            .filter(p -> !hasEnded(p))
            .collect(ImmutableList.toImmutableList());
    if (left.size() == assignment.previous().size()) {
      return assignment;
    }
    changed = true;
    return new RangeAssignment(assignment.range(), assignment.holder(), assignment.fence(), left);
  }

  /** Returns the lives that may still hold keys of an assignment once its holder is replaced. */
  private ImmutableList<Holder> remaining(RangeAssignment assignment) {
    ImmutableList.Builder<Holder> holders = ImmutableList.builder();
    if (assignment.fence() > 0 && !hasEnded(assignment.holder())) {
      holders.add(assignment.holder());
    }
    assignment.previous().stream()
        .filter(p -> !hasEnded(p) && !p.equals(assignment.holder()))
        .forEach(holders::add);
    return holders.build();
  }

  private boolean hasEnded(Holder holder) {
    return known.stream().anyMatch(holder::isSucceededBy);
  }

  private void keep(RangeAssignment assignment) {
    assignments.add(assignment);
    planned.merge(assignment.holder().upstream(), load.of(assignment.range()), Double::sum);
  }

  private void place(KeyRange range, Candidate target, ImmutableList<Holder> previous) {
    Holder holder = Holder.of(target.upstream());
    ImmutableList<Holder> others =
        previous.stream().filter(p -> !p.equals(holder)).collect(ImmutableList.toImmutableList());
    keep(new RangeAssignment(range, holder, nextFence++, others));
    changed = true;
  }

  private void replace(RangeAssignment assignment) {
    ImmutableList<Holder> previous = remaining(assignment);
    double piece = largestPiece();
    KeyRange rest = assignment.range();
    while (true) {
      Candidate target = leastBusy();
      int count = Math.max(1, load.keysFromStart(rest, piece * target.capacity()));
      // A short remainder goes with the piece before it.
      if (count >= rest.size() || load.of(rest) <= piece * target.capacity() * 1.5) {
        place(rest, target, previous);
        return;
      }
      place(new KeyRange(rest.first(), rest.first() + count - 1), target, previous);
      rest = new KeyRange(rest.first() + count, rest.last());
    }
  }

  /** Returns the largest work of a piece for each slot of its new holder. */
  private double largestPiece() {
    double capacity = candidates.values().stream().mapToDouble(Candidate::capacity).sum();
    double share = assignments.isEmpty() ? 1 : LARGEST_PIECE;
    return load.total() / capacity * share;
  }

  private Candidate leastBusy() {
    return candidates.values().stream()
        .min(
            Comparator.comparing((Candidate c) -> !c.mayGain())
                .thenComparingDouble(this::busyness)
                .thenComparing(c -> c.upstream().id()))
        .orElseThrow();
  }

  private double busyness(Candidate candidate) {
    return planned.getOrDefault(candidate.upstream().id(), 0.0) / candidate.capacity();
  }

  private void balance(Predicate<RangeAssignment> movable) {
    double mean =
        load.total() / candidates.values().stream().mapToDouble(Candidate::capacity).sum();
    Set<UpstreamId> done = new HashSet<>();
    for (int moves = 0; moves < MOVES_PER_ROUND; moves++) {
      Optional<Candidate> donor = busiest(done);
      if (donor.isEmpty()) {
        break;
      }
      boolean isUrgent = busyness(donor.get()) > OVERLOADED;
      if (moves >= MOVES_WITHOUT_OVERLOAD && !isUrgent) {
        break;
      }
      Optional<Candidate> receiver = receiver(donor.get(), mean);
      boolean moved =
          (receiver.isPresent() && movePiece(donor.get(), receiver.get(), mean, movable))
              || moveToFaster(donor.get(), movable);
      if (!moved) {
        done.add(donor.get().upstream().id());
      }
    }
    assignments.sort(BY_FIRST_KEY);
    mergeNeighbours(movable);
  }

  private Optional<Candidate> busiest(Set<UpstreamId> except) {
    return candidates.values().stream()
        .filter(c -> !except.contains(c.upstream().id()))
        .max(Comparator.comparingDouble(this::busyness).thenComparing(c -> c.upstream().id()));
  }

  private Optional<Candidate> receiver(Candidate donor, double mean) {
    Optional<Candidate> idle =
        candidates.values().stream()
            .filter(c -> c.mayGain() && rangesOf(c) < MOST_RANGES)
            .min(Comparator.comparingDouble(this::busyness).thenComparing(c -> c.upstream().id()));
    double difference = IMBALANCE * Math.max(mean, RELIEVED_ABOVE);
    return idle.filter(
        c ->
            rangesOf(c) == 0
                || (busyness(donor) > RELIEVED_ABOVE
                    && busyness(donor) - busyness(c) > difference));
  }

  private long rangesOf(Candidate candidate) {
    return assignments.stream()
        .filter(a -> a.holder().upstream().equals(candidate.upstream().id()))
        .count();
  }

  private boolean movePiece(
      Candidate donor, Candidate receiver, double mean, Predicate<RangeAssignment> movable) {
    double wanted = wanted(donor, receiver, mean);
    List<RangeAssignment> owned =
        assignments.stream()
            .filter(a -> a.holder().upstream().equals(donor.upstream().id()))
            .filter(movable)
            .sorted(
                Comparator.comparingDouble((RangeAssignment a) -> load.of(a.range())).reversed())
            .toList();
    for (RangeAssignment assignment : owned) {
      if (moveFrom(assignment, receiver, wanted)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns how much work a receiver should get: as much as makes both equally busy, but no more
   * than the mean, so that a busy area of keys is spread over many upstreams in one round.
   */
  private double wanted(Candidate donor, Candidate receiver, double mean) {
    double difference = busyness(donor) - busyness(receiver);
    double equal = difference / (1 / donor.capacity() + 1 / receiver.capacity());
    double toMean = (Math.max(mean, RELIEVED_ABOVE) - busyness(receiver)) * receiver.capacity();
    return toMean > 0 ? Math.min(equal, toMean) : equal;
  }

  private boolean moveFrom(RangeAssignment assignment, Candidate receiver, double wanted) {
    KeyRange range = assignment.range();
    int fromStart = load.keysFromStart(range, wanted);
    int fromEnd = load.keysFromEnd(range, wanted);
    if (fromStart == 0 && fromEnd == 0) {
      return false;
    }
    boolean atStart =
        fromEnd == 0
            || (fromStart > 0 && workAtStart(range, fromStart) >= workAtEnd(range, fromEnd));
    double moved = atStart ? workAtStart(range, fromStart) : workAtEnd(range, fromEnd);
    if (moved < wanted / 4) {
      return false;
    }
    cut(assignment, atStart, atStart ? fromStart : fromEnd, receiver);
    return true;
  }

  /**
   * Moves the busiest single key of an overloaded upstream to one that can do more of its work.
   * Such a key cannot be divided, so its holder decides how many of its requests are served.
   */
  private boolean moveToFaster(Candidate donor, Predicate<RangeAssignment> movable) {
    if (busyness(donor) <= OVERLOADED) {
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
    double work = load.of(new KeyRange(key, key));
    Optional<Candidate> faster =
        candidates.values().stream()
            .filter(Candidate::mayGain)
            .filter(c -> !c.upstream().id().equals(donor.upstream().id()))
            .min(Comparator.comparingDouble(c -> busyness(c) + work / c.capacity()));
    if (faster.isEmpty()
        || busyness(faster.get()) + work / faster.get().capacity()
            > busyness(donor) * FASTER_ENOUGH) {
      return false;
    }
    cutOut(busiest.get(), key, faster.get());
    return true;
  }

  private void cutOut(RangeAssignment assignment, int key, Candidate receiver) {
    KeyRange range = assignment.range();
    assignments.remove(assignment);
    planned.merge(assignment.holder().upstream(), -load.of(range), Double::sum);
    place(new KeyRange(key, key), receiver, remaining(assignment));
    if (key > range.first()) {
      keep(assignment.withRange(new KeyRange(range.first(), key - 1)));
    }
    if (key < range.last()) {
      keep(assignment.withRange(new KeyRange(key + 1, range.last())));
    }
  }

  private double workAtStart(KeyRange range, int count) {
    return load.of(new KeyRange(range.first(), range.first() + count - 1));
  }

  private double workAtEnd(KeyRange range, int count) {
    return load.of(new KeyRange(range.last() - count + 1, range.last()));
  }

  private void cut(RangeAssignment assignment, boolean atStart, int count, Candidate receiver) {
    KeyRange range = assignment.range();
    assignments.remove(assignment);
    planned.merge(assignment.holder().upstream(), -load.of(range), Double::sum);
    ImmutableList<Holder> previous = remaining(assignment);
    if (count >= range.size()) {
      place(range, receiver, previous);
      return;
    }
    int border = atStart ? range.first() + count : range.last() - count + 1;
    var left = new KeyRange(range.first(), border - 1);
    var right = new KeyRange(border, range.last());
    place(atStart ? left : right, receiver, previous);
    keep(assignment.withRange(atStart ? right : left));
  }

  /** Joins settled neighbours of one holder, so that grants stay few. */
  private void mergeNeighbours(Predicate<RangeAssignment> movable) {
    for (int i = assignments.size() - 1; i > 0; i--) {
      RangeAssignment left = assignments.get(i - 1);
      RangeAssignment right = assignments.get(i);
      if (left.holder().equals(right.holder()) && movable.test(left) && movable.test(right)) {
        var joined = new KeyRange(left.range().first(), right.range().last());
        assignments.remove(i);
        assignments.set(
            i - 1, new RangeAssignment(joined, left.holder(), nextFence++, ImmutableList.of()));
        changed = true;
      }
    }
  }
}
