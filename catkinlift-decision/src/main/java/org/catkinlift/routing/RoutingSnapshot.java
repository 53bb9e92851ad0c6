package org.catkinlift.routing;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * The data from which traffic threads route requests; the control thread replaces it as a whole.
 *
 * @param self the host of this daemon
 * @param configuration the configuration in force
 * @param slotTables the owners of the slots of each keyed service
 * @param dispatchers the daemon that dispatches to each upstream
 */
public record RoutingSnapshot(
    HostId self,
    Configuration configuration,
    ImmutableMap<ServiceName, SlotTable> slotTables,
    ImmutableMap<UpstreamId, HostId> dispatchers) {

  /**
   * Returns the snapshot of a daemon that has no configuration yet.
   *
   * @param self the host of the daemon
   * @return the snapshot
   */
  public static RoutingSnapshot empty(HostId self) {
    return new RoutingSnapshot(self, Configuration.EMPTY, ImmutableMap.of(), ImmutableMap.of());
  }
}
