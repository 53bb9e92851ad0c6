package org.catkinlift.placement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.Collections;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceName;
import org.junit.jupiter.api.Test;

final class HomeMapPlannerTest {
  private static final CellId A = CellId.of("a");
  private static final CellId B = CellId.of("b");
  private static final CellId C = CellId.of("c");
  private static final ImmutableMap<CellId, Double> WEIGHTS =
      ImmutableMap.of(A, 1.0, B, 2.0, C, 1.0);
  private static final HomeMap FIRST =
      HomeMapPlanner.create(ServiceName.of("orders"), 1_024, WEIGHTS);

  private static int slots(HomeMap map, CellId cell) {
    return Collections.frequency(map.homes(), cell);
  }

  private static long changed(HomeMap a, HomeMap b) {
    long changed = 0;
    for (int i = 0; i < a.homes().size(); i++) {
      changed += a.homes().get(i).equals(b.homes().get(i)) ? 0 : 1;
    }
    return changed;
  }

  /** Guards against cells that get more or fewer slots than their capacity warrants. */
  @Test
  void cellsGetSlotsInProportionToTheirWeight() {
    assertThat(slots(FIRST, A)).isEqualTo(256);
    assertThat(slots(FIRST, B)).isEqualTo(512);
  }

  /** Guards against moves between the remaining cells. */
  @Test
  void removingACellMovesOnlyItsSlots() {
    HomeMap next = HomeMapPlanner.change(FIRST, ImmutableMap.of(A, 1.0, B, 2.0), 0);
    assertThat(slots(next, C)).isEqualTo(0);
    assertThat(changed(FIRST, next)).isEqualTo(256);
    assertThat(next.version()).isEqualTo(2);
  }

  /** Guards against moving all slots at once to a cell that returns. */
  @Test
  void aReturningCellGetsABoundedNumberOfSlots() {
    HomeMap without = HomeMapPlanner.change(FIRST, ImmutableMap.of(A, 1.0, B, 2.0), 0);
    HomeMap back = HomeMapPlanner.change(without, WEIGHTS, 20);
    assertThat(changed(without, back)).isEqualTo(20);
    assertThat(slots(back, C)).isEqualTo(20);
  }

  /** Guards against moves without a change of weights. */
  @Test
  void unchangedWeightsChangeNothing() {
    assertThat(HomeMapPlanner.change(FIRST, WEIGHTS, 1_024)).isSameInstanceAs(FIRST);
  }
}
