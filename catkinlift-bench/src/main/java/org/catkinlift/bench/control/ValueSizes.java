package org.catkinlift.bench.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Locale;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.Versioned;
import org.catkinlift.model.ZoneName;

/**
 * Measures the encoded size of the values that daemons disseminate, and the heap size of
 * assignments.
 *
 * <p>Heap size is the difference in used heap after garbage collection, so it is approximate.
 */
public final class ValueSizes {
  private static final ServiceName SERVICE = ServiceName.of("orders-stock");
  private static final ImmutableList<Integer> UPSTREAM_COUNTS = ImmutableList.of(36, 1_000, 19_000);
  private static final ImmutableList<Integer> CELL_COUNTS = ImmutableList.of(3, 50, 150, 594);
  private static final int DESIGN_SLOTS = 1 << 20;
  private static final int DESIGN_CELLS = 594;

  private ValueSizes() {}

  /**
   * Prints one JSON line for each kind and size of value.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    UPSTREAM_COUNTS.forEach(n -> print("configuration", n, "upstreams", configuration(n)));
    for (int slots : ImmutableList.of(1_024, 65_536, DESIGN_SLOTS)) {
      print("home map", slots, "slots", homeMap(slots, DESIGN_CELLS));
    }
    for (int slots : ImmutableList.of(341, 1_024, DESIGN_SLOTS / DESIGN_CELLS)) {
      print("assignment", slots, "slots", assignment(0, slots));
    }
    CELL_COUNTS.forEach(ValueSizes::printDigest);
    for (int cells : ImmutableList.of(50, 150, DESIGN_CELLS)) {
      printHeap(cells);
    }
  }

  private static void print(String kind, int count, String unit, Versioned value) {
    int bytes = TrafficCounter.frameSize(new PeerMessage.PullReply(ImmutableList.of(value)));
    System.out.printf(
        Locale.ROOT, "{\"value\":\"%s\",\"%s\":%d,\"bytes\":%d}%n", kind, unit, count, bytes);
  }

  private static void printDigest(int cells) {
    var store = new VersionStore();
    for (int cell = 0; cell < cells; cell++) {
      store.offer(assignment(cell, 0));
    }
    int bytes = TrafficCounter.frameSize(store.digest());
    System.out.printf(
        Locale.ROOT,
        "{\"value\":\"digest of all assignments of a service\",\"cells\":%d,\"bytes\":%d}%n",
        cells,
        bytes);
  }

  private static void printHeap(int cells) {
    long before = usedHeap();
    var store = new VersionStore();
    for (int cell = 0; cell < cells; cell++) {
      store.offer(assignment(cell, DESIGN_SLOTS / DESIGN_CELLS));
    }
    long after = usedHeap();
    System.out.printf(
        Locale.ROOT,
        "{\"value\":\"heap of the assignments of a service\",\"cells\":%d,\"slots\":%d,"
            + "\"megabytes\":%.1f}%n",
        store.assignments(SERVICE).size(),
        cells * (DESIGN_SLOTS / DESIGN_CELLS),
        (after - before) / 1e6);
  }

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      runtime.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static Assignment assignment(int cell, int slotCount) {
    var slots = new ImmutableSortedMap.Builder<Integer, SlotOwner>(Integer::compare);
    for (int i = 0; i < slotCount; i++) {
      UpstreamId owner = UpstreamId.of("orders-stock-%03d-%02d".formatted(cell, i % 32));
      slots.put(cell * slotCount + i, SlotOwner.of(owner, Epoch.of(3, i)));
    }
    return new Assignment(
        SERVICE,
        CellId.of("cell-%03d".formatted(cell)),
        Epoch.of(3, slotCount),
        slots.buildOrThrow(),
        ImmutableMap.of());
  }

  private static HomeMap homeMap(int slotCount, int cells) {
    var homes = ImmutableList.<CellId>builder();
    for (int slot = 0; slot < slotCount; slot++) {
      homes.add(CellId.of("cell-%03d".formatted(slot % cells)));
    }
    return new HomeMap(SERVICE, 7, homes.build());
  }

  private static Configuration configuration(int upstreams) {
    var definitions = ImmutableList.<UpstreamDefinition>builder();
    for (int i = 0; i < upstreams; i++) {
      definitions.add(
          new UpstreamDefinition(
              UpstreamId.of("orders-stock-%03d-%02d".formatted(i / 32, i % 32)),
              ZoneName.of("zone-" + i % 12),
              CellId.of("cell-%03d".formatted(i / 32)),
              NetworkAddress.of("10.0.%d.%d".formatted(i / 250, i % 250), 8000),
              4,
              130));
    }
    var service =
        new ServiceDefinition(
            SERVICE,
            ServiceKind.keyed(),
            ImmutableSet.of(ZoneName.of("zone-0")),
            definitions.build(),
            0);
    return Configuration.builder().version(9).services(ImmutableMap.of(SERVICE, service)).build();
  }
}
