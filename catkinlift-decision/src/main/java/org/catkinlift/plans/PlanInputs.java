package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * The state that a plan is computed from.
 *
 * @param configuration the newest configuration
 * @param assignments the assignments of the keyed services in all cells
 * @param loads the estimated number of requests in flight and queued of each upstream of the
 *     configuration
 * @param hosts the known hosts
 */
public record PlanInputs(
    Configuration configuration,
    ImmutableList<Assignment> assignments,
    ImmutableMap<UpstreamId, Double> loads,
    ImmutableSet<HostDefinition> hosts) {

  /**
   * Returns the assignments of one service.
   *
   * @param service the service
   * @return the assignments, one for each home cell
   */
  public ImmutableList<Assignment> assignments(ServiceName service) {
    return assignments.stream()
        .filter(a -> a.service().equals(service))
        .collect(ImmutableList.toImmutableList());
  }
}
