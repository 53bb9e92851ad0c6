package org.catkinlift.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.stream.IntStream;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class SlotTableTest {
  private static final ServiceName SERVICE = ServiceName.of("orders");
  private static final CellId SUVA = CellId.of("suva");
  private static final CellId NADI = CellId.of("nadi");
  private static final CellId LAUTOKA = CellId.of("lautoka");
  private static final HomeMap HOMES =
      new HomeMap(SERVICE, 1, ImmutableList.of(SUVA, NADI, LAUTOKA, SUVA));

  private static SlotOwner owner(CellId cell, long term) {
    return SlotOwner.of(UpstreamId.of("orders-" + cell), Epoch.of(term, 1));
  }

  private static Assignment assignment(CellId cell, long term, Integer... slots) {
    return new Assignment(
        SERVICE,
        cell,
        Epoch.of(term, 1),
        ImmutableList.copyOf(slots).stream()
            .collect(ImmutableMap.toImmutableMap(s -> s, s -> owner(cell, term))),
        ImmutableMap.of());
  }

  private static SlotOwner ownerOf(SlotTable table, int slot) {
    return IntStream.range(0, 1_000)
        .mapToObj(i -> "key-" + i)
        .filter(k -> table.slotOf(k) == slot)
        .map(table::ownerOf)
        .findFirst()
        .orElseThrow();
  }

  /** Guards against the entry of a cell that lost a slot, although its epoch is later. */
  @Test
  void onlyTheHomeCellsEntryCounts() {
    var table =
        SlotTable.of(HOMES, ImmutableList.of(assignment(NADI, 2, 1), assignment(SUVA, 9, 0, 1, 2)));
    assertThat(ownerOf(table, 0)).isEqualTo(owner(SUVA, 9));
    assertThat(ownerOf(table, 1)).isEqualTo(owner(NADI, 2));
  }

  /** Guards against the owner of another slot where the home cell has no entry or is unknown. */
  @Test
  void slotsWithoutAnEntryOfTheirHomeHaveNoOwner() {
    var table = SlotTable.of(HOMES, ImmutableList.of(assignment(SUVA, 9, 0, 2)));
    assertThat(ownerOf(table, 1)).isEqualTo(SlotOwner.NONE);
    assertThat(ownerOf(table, 2)).isEqualTo(SlotOwner.NONE);
    assertThat(ownerOf(table, 3)).isEqualTo(SlotOwner.NONE);
  }

  /** Guards against an earlier epoch that replaces a later one where no home map is known. */
  @Test
  void withoutAHomeMapTheLaterEpochCounts() {
    for (ImmutableList<Assignment> order :
        ImmutableList.of(
            ImmutableList.of(assignment(SUVA, 1, 0, 1), assignment(NADI, 2, 1, 2)),
            ImmutableList.of(assignment(NADI, 2, 1, 2), assignment(SUVA, 1, 0, 1)))) {
      var table = SlotTable.of(4, order);
      assertThat(ownerOf(table, 0)).isEqualTo(owner(SUVA, 1));
      assertThat(ownerOf(table, 1)).isEqualTo(owner(NADI, 2));
      assertThat(ownerOf(table, 2)).isEqualTo(owner(NADI, 2));
      assertThat(ownerOf(table, 3)).isEqualTo(SlotOwner.NONE);
    }
  }
}
