package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.KeyHasher;
import org.junit.jupiter.api.Test;

final class UnitTableTest {
  private static final int SLOTS = 4;
  private static final ImmutableSet<Integer> HOME_SLOTS = ImmutableSet.of(0, 1, 2, 3);
  private static final UpstreamId UPSTREAM = UpstreamId.of("a");
  private static final Epoch EPOCH = Epoch.of(1, 1);

  private final UnitTable table = new UnitTable(SLOTS);

  private int addOverride(String key) {
    table.retainHomeSlots(HOME_SLOTS);
    table.assign(KeyHasher.slotOf(key, SLOTS), UPSTREAM, EPOCH);
    table.addOverride(key, EPOCH, EPOCH);
    return table.unitOf(key).orElseThrow();
  }

  private void reload() {
    Assignment current = table.toAssignment(ServiceName.of("s"), CellId.of("c"), EPOCH);
    table.load(current);
    table.retainHomeSlots(HOME_SLOTS);
  }

  /** Guards against a second owner of a hot key that its first owner has not yet released. */
  @Test
  void loadKeepsPendingReleasesOfSlotsAndOverrides() {
    int unit = addOverride("key");
    int slot = KeyHasher.slotOf("key", SLOTS);
    table.startRelease(unit, EPOCH, 0);
    table.startRelease(slot, EPOCH, 0);
    reload();
    assertThat(table.releases().keySet()).containsExactly(slot, unit);
    assertThat(table.free()).containsNoneOf(slot, unit);
  }

  /** Guards against a number that means another key than in the grants that were sent before. */
  @Test
  void loadKeepsNumbersOfOverrides() {
    addOverride("key");
    int unit = addOverride("other");
    table.startRelease(table.unitOf("key").orElseThrow(), EPOCH, 0);
    table.endRelease(table.unitOf("key").orElseThrow());
    String removed = table.removeOverride(table.unitOf("key").orElseThrow());
    assertThat(removed).isEqualTo("key");
    reload();
    assertThat(table.unitOf("other")).hasValue(unit);
  }
}
