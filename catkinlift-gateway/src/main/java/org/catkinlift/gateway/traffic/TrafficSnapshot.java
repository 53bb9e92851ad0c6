package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.routes.RouteTable;

/**
 * All that the traffic thread needs to route, as the control thread published it.
 *
 * @param configuration the configuration in force
 * @param routes its routes
 * @param upstreams the upstreams by name
 * @param rangeMaps the holders of the keys of each keyed service
 * @param daemons the number of daemons that share the upstreams
 */
public record TrafficSnapshot(
    RouteConfiguration configuration,
    RouteTable routes,
    ImmutableMap<UpstreamId, UpstreamView> upstreams,
    ImmutableMap<ServiceName, RangeMap> rangeMaps,
    int daemons) {
  /** Stands for a daemon that knows nothing yet. */
  public static final TrafficSnapshot EMPTY =
      new TrafficSnapshot(
          RouteConfiguration.NONE,
          RouteTable.of(ImmutableList.of()),
          ImmutableMap.of(),
          ImmutableMap.of(),
          1);
}
