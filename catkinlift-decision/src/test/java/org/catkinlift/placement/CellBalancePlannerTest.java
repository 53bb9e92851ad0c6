package org.catkinlift.placement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.junit.jupiter.api.Test;

final class CellBalancePlannerTest {
  private static final CellId A = CellId.of("a");
  private static final CellId B = CellId.of("b");
  private static final CellId C = CellId.of("c");
  private static final int BUDGET = 20;

  private static CellLoad.Measured load(double load, double error) {
    return new CellLoad.Measured(1, load, error, 100);
  }

  private static ImmutableMap<CellId, CellLoad.Measured> loads(double a, double b, double c) {
    return ImmutableMap.of(A, load(a, 0), B, load(b, 0), C, load(c, 0));
  }

  private static CellBalanceInput input(CellId own, ImmutableMap<CellId, CellLoad.Measured> loads) {
    var slots = ImmutableMap.<Integer, Double>builder();
    for (int slot = 0; slot < 100; slot++) {
      slots.put(slot, loads.get(own).load() / 100);
    }
    return new CellBalanceInput(own, loads, slots.buildOrThrow());
  }

  /**
   * Guards against a cell that takes slots from others, or moves slots without being overloaded.
   */
  @Test
  void onlyAnOverloadedCellMovesSlots() {
    var loads = loads(120, 90, 90);
    assertThat(CellBalancePlanner.plan(input(A, loads), BUDGET)).isNotEmpty();
    assertThat(CellBalancePlanner.plan(input(B, loads), BUDGET)).isEmpty();
    assertThat(CellBalancePlanner.plan(input(A, loads(103, 99, 98)), BUDGET)).isEmpty();
  }

  /** Guards against moves caused by noise. */
  @Test
  void excessWithinTheNoiseMovesNothing() {
    var loads = ImmutableMap.of(A, load(110, 4), B, load(95, 0), C, load(95, 0));
    assertThat(CellBalancePlanner.plan(input(A, loads), BUDGET)).isEmpty();
  }

  /**
   * Guards against two cells that plan from the same stale loads and together overload the third.
   */
  @Test
  void cellsThatPlanConcurrentlyDoNotOverloadTheReceiver() {
    var loads = loads(110, 110, 80);
    double sum = 80;
    for (CellId own : new CellId[] {A, B}) {
      CellBalanceInput input = input(own, loads);
      var moves = CellBalancePlanner.plan(input, BUDGET);
      assertThat(moves).isNotEmpty();
      assertThat(moves.values().stream().allMatch(C::equals)).isTrue();
      sum += moves.keySet().stream().mapToDouble(input.slotLoads()::get).sum();
    }
    assertThat(sum).isAtMost(100.0);
  }

  /** Guards against oscillation: after the moves no cell is overloaded. */
  @Test
  void theMovesLeaveNoCellOverloaded() {
    var loads = loads(130, 90, 80);
    CellBalanceInput input = input(A, loads);
    Map<CellId, Double> after = new HashMap<>();
    loads.forEach((cell, load) -> after.put(cell, load.load()));
    CellBalancePlanner.plan(input, 100)
        .forEach(
            (slot, to) -> {
              after.merge(A, -input.slotLoads().get(slot), Double::sum);
              after.merge(to, input.slotLoads().get(slot), Double::sum);
            });
    var next = loads(after.get(A), after.get(B), after.get(C));
    for (CellId own : next.keySet()) {
      assertThat(CellBalancePlanner.plan(input(own, next), 100)).isEmpty();
    }
  }

  /**
   * Guards against exceeding the budget, and against moving light slots where one heavy slot fits.
   */
  @Test
  void fewHeavySlotsMoveWithinTheBudget() {
    var loads = loads(120, 90, 90);
    assertThat(CellBalancePlanner.plan(input(A, loads), 3)).hasSize(3);
    var slots = ImmutableMap.of(1, 60.0, 2, 9.0, 3, 1.0, 4, 50.0);
    assertThat(CellBalancePlanner.plan(new CellBalanceInput(A, loads, slots), 1).keySet())
        .containsExactly(2);
  }
}
