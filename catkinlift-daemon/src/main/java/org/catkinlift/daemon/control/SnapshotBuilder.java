package org.catkinlift.daemon.control;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.RoutingSnapshot;
import org.catkinlift.routing.SlotTable;

/** Builds the routing state for the traffic threads from the state of the control thread. */
final class SnapshotBuilder {
  private SnapshotBuilder() {}

  static RoutingSnapshot build(VersionStore store, HostId self) {
    return new RoutingSnapshot(self, store.configuration(), slotTables(store), dispatchers(store));
  }

  static ImmutableMap<HostId, HostDefinition> hosts(MembershipView members) {
    return members.known().stream().collect(toImmutableMap(HostDefinition::id, h -> h));
  }

  private static ImmutableMap<ServiceName, SlotTable> slotTables(VersionStore store) {
    var tables = ImmutableMap.<ServiceName, SlotTable>builder();
    for (ServiceDefinition service : store.configuration().services().values()) {
      switch (service.kind()) {
        case ServiceKind.Keyed keyed ->
            tables.put(service.name(), slotTable(store, service.name(), keyed.slotCount()));
        case ServiceKind.Shared shared -> {}
      }
    }
    return tables.buildOrThrow();
  }

  /**
   * Without the home map no assignment is valid, so the table is empty and requests wait for an
   * owner.
   */
  private static SlotTable slotTable(VersionStore store, ServiceName service, int slotCount) {
    return store
        .homeMap(service)
        .map(homes -> SlotTable.of(homes, store.assignments(service)))
        .orElseGet(() -> SlotTable.of(slotCount, ImmutableList.of()));
  }

  private static ImmutableMap<UpstreamId, HostId> dispatchers(VersionStore store) {
    var dispatchers = ImmutableMap.<UpstreamId, HostId>builder();
    for (DispatcherMap map : store.dispatcherMaps()) {
      dispatchers.putAll(map.dispatchers());
    }
    return dispatchers.buildKeepingLast();
  }
}
