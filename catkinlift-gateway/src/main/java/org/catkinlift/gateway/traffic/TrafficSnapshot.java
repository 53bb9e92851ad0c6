package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.routes.RouteTable;
import org.catkinlift.routes.ServiceProfile;

/**
 * The routing state that the control thread publishes to the traffic thread.
 *
 * @param configuration the configuration in force
 * @param routes the route table of the configuration
 * @param upstreams the listed upstreams by id
 * @param rangeMaps the key ranges and their holders of each keyed service
 * @param daemons the number of daemons that share the upstreams
 */
public record TrafficSnapshot(
    RouteConfiguration configuration,
    RouteTable routes,
    ImmutableMap<UpstreamId, UpstreamView> upstreams,
    ImmutableMap<ServiceName, RangeMap> rangeMaps,
    int daemons) {
  /** The snapshot of a daemon that has not yet received any state. */
  public static final TrafficSnapshot EMPTY =
      new TrafficSnapshot(
          RouteConfiguration.NONE,
          RouteTable.of(ImmutableList.of()),
          ImmutableMap.of(),
          ImmutableMap.of(),
          1);

  /**
   * Returns whether the upstreams of a service own ranges of keys.
   *
   * @param service the service
   */
  public boolean isKeyed(ServiceName service) {
    ServiceProfile profile = configuration.services().get(service);
    return profile != null && profile.keyed();
  }
}
