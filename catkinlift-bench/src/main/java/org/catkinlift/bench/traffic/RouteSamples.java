package org.catkinlift.bench.traffic;

import java.time.Duration;
import org.catkinlift.bench.Site;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.routing.RoutingSnapshot;

/** Creates inputs for routing decisions at the size of a site, for microbenchmarks. */
public final class RouteSamples {
  private RouteSamples() {}

  /**
   * Returns the routing snapshot of a daemon at a site with one keyed service.
   *
   * @param site the site
   * @return the snapshot
   */
  public static RoutingSnapshot keyed(Site site) {
    TrafficSimulation simulation = TrafficSimulation.keyed(site);
    return simulation.snapshotOf(simulation.host(0));
  }

  /**
   * Returns the routing snapshot of a daemon at a site with one shared service.
   *
   * @param site the site
   * @return the snapshot
   */
  public static RoutingSnapshot shared(Site site) {
    TrafficSimulation simulation = TrafficSimulation.shared(site);
    return simulation.snapshotOf(simulation.host(0));
  }

  /**
   * Returns a request to the service in these snapshots.
   *
   * @return the request
   */
  public static RequestDescription request() {
    return new Workload(
            TrafficSimulation.SERVICE, Duration.ofMillis(20), Duration.ofSeconds(2), 0, 1)
        .request(1)
        .description();
  }
}
