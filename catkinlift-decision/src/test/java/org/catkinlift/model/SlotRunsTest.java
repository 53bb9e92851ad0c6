package org.catkinlift.model;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import org.catkinlift.model.SlotRuns.Run;
import org.junit.jupiter.api.Test;

/** Guards against runs that span a gap or join slots with different values. */
final class SlotRunsTest {
  @Test
  void gapOrDifferentValueEndsRun() {
    var slots = ImmutableSortedMap.of(2, "a", 3, "a", 5, "a", 6, "b", 7, "b");

    assertThat(SlotRuns.of(slots.keySet(), slots::get))
        .containsExactly(new Run<>(2, 2, "a"), new Run<>(5, 1, "a"), new Run<>(6, 2, "b"))
        .inOrder();
  }

  @Test
  void noRunsForNoSlots() {
    assertThat(SlotRuns.of(ImmutableList.of(), slot -> slot)).isEmpty();
  }
}
