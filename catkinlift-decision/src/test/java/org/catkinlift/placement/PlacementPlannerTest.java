package org.catkinlift.placement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
import java.util.stream.IntStream;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class PlacementPlannerTest {
  private static final UpstreamId A = UpstreamId.of("a");
  private static final UpstreamId B = UpstreamId.of("b");
  private static final UpstreamId C = UpstreamId.of("c");
  private static final ImmutableMap<UpstreamId, Double> ALL =
      ImmutableMap.of(A, 4.0, B, 4.0, C, 4.0);

  /** Slots 0 to 29 are distributed evenly over the three upstreams, each with load 1. */
  private static PlacementInput evenInput(
      ImmutableMap<Integer, Double> changed, ImmutableMap<UpstreamId, Double> capacities) {
    var owners = ImmutableSortedMap.<Integer, Optional<UpstreamId>>naturalOrder();
    var loads = ImmutableMap.<Integer, Double>builder();
    IntStream.range(0, 30)
        .forEach(
            s -> {
              owners.put(s, Optional.of(ImmutableSet.of(A, B, C).asList().get(s % 3)));
              loads.put(s, changed.getOrDefault(s, 1.0));
            });
    return new PlacementInput(
        owners.buildOrThrow(), loads.buildOrThrow(), capacities, ImmutableSet.of());
  }

  /** Guards against moving slots of healthy owners when an upstream is lost. */
  @Test
  void onlySlotsOfALostUpstreamAreReassigned() {
    var input = evenInput(ImmutableMap.of(), ImmutableMap.of(A, 4.0, B, 4.0));
    var moves = PlacementPlanner.reassignUnowned(input);
    assertThat(moves).hasSize(10);
    assertThat(moves.stream().allMatch(m -> m.from().equals(Optional.of(C)))).isTrue();
    assertThat(moves.stream().filter(m -> m.to().equals(A)).count()).isEqualTo(5);
  }

  /** Guards against churn: an imbalance below the threshold causes no moves. */
  @Test
  void aSmallImbalanceMovesNothing() {
    assertThat(PlacementPlanner.balance(evenInput(ImmutableMap.of(0, 1.9), ALL), 10)).isEmpty();
  }

  /** Guards against exceeding the budget and against moving pinned slots. */
  @Test
  void aLargeImbalanceMovesFewSlotsFromTheMostLoaded() {
    PlacementInput input = evenInput(ImmutableMap.of(0, 6.0, 3, 3.0), ALL);
    var moves = PlacementPlanner.balance(input, 1);
    assertThat(moves).hasSize(1);
    assertThat(moves.getFirst().from()).hasValue(A);
    var pinned =
        new PlacementInput(
            input.owners(), input.loads(), input.capacities(), input.owners().keySet());
    assertThat(PlacementPlanner.balance(pinned, 10)).isEmpty();
  }

  /** Guards against giving a returning cold upstream its full share at once. */
  @Test
  void aColdUpstreamGetsItsShareByCapacityOnly() {
    var input =
        evenInput(ImmutableMap.of(), ImmutableMap.of(A, 4.0, B, 4.0, UpstreamId.of("d"), 1.0));
    var moves = PlacementPlanner.reassignUnowned(input);
    long cold = moves.stream().filter(m -> m.to().equals(UpstreamId.of("d"))).count();
    assertThat(cold).isAtMost(4);
  }

  /** Guards against an endless exchange when a single slot is too heavy. */
  @Test
  void aSlotThatIsTooHeavyStaysWhereItIs() {
    var moves = PlacementPlanner.balance(evenInput(ImmutableMap.of(0, 100.0), ALL), 20);
    assertThat(moves.stream().noneMatch(m -> m.slot() == 0)).isTrue();
  }

  /** Guards against moves caused by noise: an uncertain load must exceed the threshold by more. */
  @Test
  void anImbalanceWithinTheNoiseMovesNothing() {
    PlacementInput exact = evenInput(ImmutableMap.of(0, 4.0), ALL);
    assertThat(PlacementPlanner.balance(exact, 10)).isNotEmpty();
    assertThat(PlacementPlanner.balance(withStandardError(exact, 0.2), 10)).isNotEmpty();
    assertThat(PlacementPlanner.balance(withStandardError(exact, 0.5), 10)).isEmpty();
  }

  /** Returns the input with a standard error for the heavy slot 0. */
  private static PlacementInput withStandardError(PlacementInput exact, double error) {
    return new PlacementInput(
        exact.owners(),
        exact.loads(),
        ImmutableMap.of(0, error * error),
        exact.capacities(),
        exact.pinned());
  }
}
