package org.catkinlift.bench.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.Locale;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.SlotTable;

/**
 * Measures the heap that the routing state of one keyed service takes at several numbers of slots.
 *
 * <p>Heap is the difference of the used heap after garbage collection, so figures are rounded.
 */
public final class RoutingStateSizes {
  private static final ImmutableList<Integer> SLOT_COUNTS =
      ImmutableList.of(1_024, 16_384, 65_536, 262_144, 1_048_576);

  private static final int UPSTREAMS = 1_000;
  private static final int LOOKUPS = 2_000_000;
  private static final ServiceName SERVICE = ServiceName.of("orders");
  private static final CellId CELL = CellId.of("cell-1");

  private RoutingStateSizes() {}

  /**
   * Prints one line for each number of slots.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    System.out.println("slots, heap of the slot table in bytes, bytes per slot, ns per lookup");
    for (int slots : SLOT_COUNTS) {
      long before = usedHeap();
      SlotTable table = table(slots);
      long bytes = usedHeap() - before;
      double nanos = nanosPerLookup(table);
      System.out.println(
          String.format(
              Locale.ROOT, "%d, %d, %.1f, %.0f", slots, bytes, (double) bytes / slots, nanos));
    }
  }

  private static SlotTable table(int slots) {
    var owners = ImmutableSortedMap.<Integer, SlotOwner>naturalOrder();
    for (int slot = 0; slot < slots; slot++) {
      UpstreamId upstream = UpstreamId.of("upstream-" + slot % UPSTREAMS);
      owners.put(slot, SlotOwner.of(upstream, Epoch.of(1, slot)));
    }
    var homes = ImmutableList.<CellId>builder();
    for (int slot = 0; slot < slots; slot++) {
      homes.add(CELL);
    }
    var assignment =
        new Assignment(SERVICE, CELL, Epoch.of(1, slots), owners.buildOrThrow(), ImmutableMap.of());
    return SlotTable.of(new HomeMap(SERVICE, 1, homes.build()), ImmutableList.of(assignment));
  }

  private static double nanosPerLookup(SlotTable table) {
    long found = lookUp(table);
    long start = System.nanoTime();
    found += lookUp(table);
    long nanos = System.nanoTime() - start;
    if (found == 0) {
      throw new IllegalStateException("no key has an owner");
    }
    return (double) nanos / LOOKUPS;
  }

  private static long lookUp(SlotTable table) {
    long found = 0;
    for (int i = 0; i < LOOKUPS; i++) {
      found += table.ownerOf("key-" + i).owner().isPresent() ? 1 : 0;
    }
    return found;
  }

  private static long usedHeap() {
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    memory.gc();
    memory.gc();
    return memory.getHeapMemoryUsage().getUsed();
  }
}
