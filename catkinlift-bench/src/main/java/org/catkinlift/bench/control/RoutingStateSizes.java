package org.catkinlift.bench.control;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.Locale;
import java.util.stream.IntStream;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.SlotTable;

/**
 * Measures the heap size and the lookup time of a keyed service's slot table at several numbers of
 * slots.
 *
 * <p>Heap size is the difference in used heap after garbage collection, so it is approximate.
 */
public final class RoutingStateSizes {
  private static final ImmutableList<Integer> SLOT_COUNTS =
      ImmutableList.of(1_024, 16_384, 65_536, 262_144, 1_048_576);

  /**
   * A single cell holds a contiguous range of slots, whereas the slots of each of the 594 cells of
   * the design size have gaps.
   */
  private static final ImmutableList<Integer> CELL_COUNTS = ImmutableList.of(1, 594);

  private static final int SINGLE_CELL_UPSTREAMS = 1_000;
  private static final int UPSTREAMS_PER_CELL = 32;
  private static final int LOOKUPS = 2_000_000;
  private static final ServiceName SERVICE = ServiceName.of("orders");

  private RoutingStateSizes() {}

  /**
   * Prints one comma-separated line for each number of cells and slots.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    System.out.println(
        "slots, cells, heap of the slot table in bytes, bytes per slot, ns per lookup");
    for (int cells : CELL_COUNTS) {
      for (int slots : SLOT_COUNTS) {
        measure(slots, cells);
      }
    }
  }

  private static void measure(int slots, int cells) {
    long before = usedHeap();
    SlotTable table = table(slots, cells);
    long bytes = usedHeap() - before;
    double nanos = nanosPerLookup(table);
    System.out.println(
        String.format(
            Locale.ROOT,
            "%d, %d, %d, %.1f, %.0f",
            slots,
            cells,
            bytes,
            (double) bytes / slots,
            nanos));
  }

  private static SlotTable table(int slots, int cells) {
    ImmutableList<CellId> cellIds =
        IntStream.range(0, cells).mapToObj(c -> CellId.of("cell-" + c)).collect(toImmutableList());
    var homes = ImmutableList.<CellId>builder();
    for (int slot = 0; slot < slots; slot++) {
      homes.add(cellIds.get(slot % cells));
    }
    var assignments = ImmutableList.<Assignment>builder();
    for (int cell = 0; cell < cells; cell++) {
      assignments.add(assignment(cellIds.get(cell), cell, slots, cells));
    }
    return SlotTable.of(new HomeMap(SERVICE, 1, homes.build()), assignments.build());
  }

  private static Assignment assignment(CellId cell, int firstSlot, int slots, int step) {
    int upstreams = step == 1 ? SINGLE_CELL_UPSTREAMS : UPSTREAMS_PER_CELL;
    var owners = ImmutableSortedMap.<Integer, SlotOwner>naturalOrder();
    for (int slot = firstSlot; slot < slots; slot += step) {
      UpstreamId upstream = UpstreamId.of(cell + "-" + slot / step % upstreams);
      owners.put(slot, SlotOwner.of(upstream, Epoch.of(1, slot)));
    }
    return new Assignment(
        SERVICE, cell, Epoch.of(1, slots), owners.buildOrThrow(), ImmutableMap.of());
  }

  private static double nanosPerLookup(SlotTable table) {
    long found = countOwnedKeys(table);
    long start = System.nanoTime();
    found += countOwnedKeys(table);
    long nanos = System.nanoTime() - start;
    if (found == 0) {
      throw new IllegalStateException("no key has an owner");
    }
    return (double) nanos / LOOKUPS;
  }

  private static long countOwnedKeys(SlotTable table) {
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
