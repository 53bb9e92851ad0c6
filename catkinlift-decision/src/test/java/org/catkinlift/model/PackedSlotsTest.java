package org.catkinlift.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class PackedSlotsTest {
  private static final int SEEDS = 100;

  private static SlotOwner owner(SplittableRandom random) {
    Optional<UpstreamId> upstream =
        random.nextInt(5) == 0
            ? Optional.empty()
            : Optional.of(UpstreamId.of("u-" + random.nextInt(4)));
    return new SlotOwner(upstream, Epoch.of(random.nextInt(3), random.nextLong(1L << 60)));
  }

  private static ImmutableSortedMap<Integer, SlotOwner> slots(SplittableRandom random) {
    var slots = ImmutableSortedMap.<Integer, SlotOwner>naturalOrder();
    int gap = 1 + random.nextInt(3);
    int slot = random.nextInt(3);
    for (int i = random.nextInt(40); i > 0; i--) {
      slots.put(slot, owner(random));
      slot += 1 + random.nextInt(gap);
    }
    return slots.buildOrThrow();
  }

  /**
   * Guards against packing that loses, swaps or reorders owners, with and without gaps between
   * slots.
   */
  @Test
  void holdsSameEntriesAsPackedMap() {
    for (int seed = 0; seed < SEEDS; seed++) {
      ImmutableSortedMap<Integer, SlotOwner> slots = slots(new SplittableRandom(seed));
      PackedSlots packed = PackedSlots.copyOf(slots);
      assertThat(packed).isEqualTo(slots);
      assertThat(packed.hashCode()).isEqualTo(slots.hashCode());
      assertThat(ImmutableList.copyOf(packed.keySet())).isEqualTo(slots.keySet().asList());
      for (int slot = -1; slot < 130; slot++) {
        assertThat(packed.get(slot)).isEqualTo(slots.get(slot));
        assertThat(packed.containsKey(slot)).isEqualTo(slots.containsKey(slot));
        assertThat(packed.ownerOf(slot)).isEqualTo(slots.getOrDefault(slot, SlotOwner.NONE));
      }
    }
  }

  /** Guards against modification of an assignment after it was published to the traffic threads. */
  @Test
  void isImmutable() {
    PackedSlots packed = PackedSlots.copyOf(ImmutableMap.of(1, SlotOwner.NONE));
    assertThrows(UnsupportedOperationException.class, () -> packed.put(2, SlotOwner.NONE));
    assertThrows(UnsupportedOperationException.class, () -> packed.remove(1));
    assertThrows(UnsupportedOperationException.class, packed::clear);
    Map.Entry<Integer, SlotOwner> entry = packed.entrySet().iterator().next();
    assertThrows(UnsupportedOperationException.class, () -> entry.setValue(SlotOwner.NONE));
  }
}
