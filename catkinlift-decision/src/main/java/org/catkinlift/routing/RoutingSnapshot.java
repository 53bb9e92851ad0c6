package org.catkinlift.routing;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * Holds all that traffic threads need to route a request; replaced as a whole by the control
 * thread.
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
   * Returns the snapshot of a daemon that knows nothing yet.
   *
   * @param self the host of the daemon
   * @return the snapshot
   */
  public static RoutingSnapshot empty(HostId self) {
    return new RoutingSnapshot(self, Configuration.EMPTY, ImmutableMap.of(), ImmutableMap.of());
  }
}
