package org.catkinlift.model;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * A service that was created by an operator.
 *
 * @param name the service
 * @param kind how its work is distributed over its upstreams
 * @param zones the availability zones that it runs in
 * @param upstreams its upstreams, ordered by id
 * @param zoneLimit the maximum number of requests in flight in one availability zone; 0 if only the
 *     limits of the upstreams apply
 */
public record ServiceDefinition(
    ServiceName name,
    ServiceKind kind,
    ImmutableSet<ZoneName> zones,
    ImmutableList<UpstreamDefinition> upstreams,
    int zoneLimit) {

  /**
   * Returns the upstreams that a cell manages.
   *
   * @param cell the cell
   * @return its upstreams, ordered by id
   */
  public ImmutableList<UpstreamDefinition> upstreamsOf(CellId cell) {
    return upstreams.stream().filter(u -> u.cell().equals(cell)).collect(toImmutableList());
  }
}
