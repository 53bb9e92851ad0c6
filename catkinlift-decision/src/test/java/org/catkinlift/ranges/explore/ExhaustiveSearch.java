package org.catkinlift.ranges.explore;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;

/**
 * Tries all sequences of steps within bounds, the shortest first.
 *
 * <p>A sequence is not continued if another one with as many faults and waits, and not more steps,
 * led to the same state. Only steps that apply a grant are tried at the end of a sequence, since no
 * other step shows a violation.
 */
final class ExhaustiveSearch {
  private static final int THREADS = 2;

  private final SearchBounds bounds;
  private final Set<StateKey> seen = ConcurrentHashMap.newKeySet();
  private final LongAdder sequences = new LongAdder();
  private final ThreadLocal<KeyLoads> loads = ThreadLocal.withInitial(KeyLoads::new);

  private record StateKey(HashCode digest, Usage usage) {}

  /** How many steps of a sequence count against the bounds of the search. */
  private record Usage(int faults, int waits) {
    private static final Usage NONE = new Usage(0, 0);

    private Usage with(Step step) {
      return new Usage(
          faults + (step.isFault() ? 1 : 0), waits + (step instanceof Step.Wait ? 1 : 0));
    }

    private boolean isWithin(SearchBounds bounds) {
      return faults <= bounds.faults() && waits <= bounds.waits();
    }
  }

  /** The system after a sequence of steps. */
  private record Node(
      ExploredSystem system, Optional<Node> parent, Optional<Step> step, Usage usage) {

    boolean isViolating() {
      return system.violation().isPresent();
    }

    ImmutableList<Step> steps() {
      List<Step> reversed = new ArrayList<>();
      for (Optional<Node> n = Optional.of(this); n.isPresent(); n = n.get().parent()) {
        n.get().step().ifPresent(reversed::add);
      }
      return ImmutableList.copyOf(reversed).reverse();
    }
  }

  private ExhaustiveSearch(SearchBounds bounds) {
    this.bounds = bounds;
  }

  /** Searches until a violation is found or all sequences have been tried. */
  static SearchResult run(SearchBounds bounds) {
    return new ExhaustiveSearch(bounds).search();
  }

  private SearchResult search() {
    long startNanos = System.nanoTime();
    Optional<Node> violating = Optional.empty();
    try (var pool = new ForkJoinPool(THREADS)) {
      ImmutableList<Node> level = ImmutableList.of(firstNode());
      for (int depth = 1; depth < bounds.depth() && violating.isEmpty(); depth++) {
        level = nextLevel(pool, level, depth + 1 == bounds.depth());
        violating = level.stream().filter(Node::isViolating).findFirst();
      }
    }
    Optional<String> timeline = violating.map(this::replay);
    var time = Duration.ofNanos(System.nanoTime() - startNanos);
    return new SearchResult(bounds, sequences.sum(), seen.size(), time, timeline);
  }

  private Node firstNode() {
    var system = new ExploredSystem(loads.get(), Timeline.disabled());
    bounds.start().steps().forEach(system::take);
    return new Node(system, Optional.empty(), Optional.empty(), Usage.NONE);
  }

  private ImmutableList<Node> nextLevel(
      ForkJoinPool pool, ImmutableList<Node> level, boolean isNextToLast) {
    return pool.submit(
            () ->
                level.parallelStream()
                    .flatMap(n -> successors(n).stream())
                    .flatMap(n -> isNextToLast ? lastNodes(n).stream() : Stream.of(n))
                    .collect(ImmutableList.toImmutableList()))
        .join();
  }

  /** Returns the states after one more step that were not reached before. */
  private ImmutableList<Node> successors(Node node) {
    return node.system().possibleSteps().stream()
        .filter(s -> node.usage().with(s).isWithin(bounds))
        .map(s -> after(node, s))
        .filter(n -> seen.add(new StateKey(n.system().digest(), n.usage())))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the violations after at most one more step. */
  private ImmutableList<Node> lastNodes(Node node) {
    return Stream.concat(
            Stream.of(node), node.system().grantingSteps().stream().map(s -> after(node, s)))
        .filter(Node::isViolating)
        .collect(ImmutableList.toImmutableList());
  }

  private Node after(Node node, Step step) {
    sequences.increment();
    var system = new ExploredSystem(node.system(), loads.get());
    system.take(step);
    return new Node(system, Optional.of(node), Optional.of(step), node.usage().with(step));
  }

  /** Confirms a violation without copies, and returns its timeline. */
  private String replay(Node node) {
    var timeline = Timeline.recording();
    var system = new ExploredSystem(new KeyLoads(), timeline);
    bounds.start().steps().forEach(system::take);
    node.steps().forEach(system::take);
    checkState(
        system.violation().isPresent(), "only copies show the violation of %s", node.steps());
    return timeline.toString();
  }
}
