package org.catkinlift.model;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * Describes a service that operators created.
 *
 * @param name the service
 * @param kind how its work is divided
 * @param zones the availability zones that it runs in
 * @param upstreams its upstreams, ordered by id
 * @param zoneLimit the requests in flight that one availability zone bears; 0 if only the limits of
 *     the upstreams apply
 */
public record ServiceDefinition(
    ServiceName name,
    ServiceKind kind,
    ImmutableSet<ZoneName> zones,
    ImmutableList<UpstreamDefinition> upstreams,
    int zoneLimit) {

  /**
   * Returns the upstreams in the care of one cell.
   *
   * @param cell the cell
   * @return its upstreams, ordered by id
   */
  public ImmutableList<UpstreamDefinition> upstreamsOf(CellId cell) {
    return upstreams.stream().filter(u -> u.cell().equals(cell)).collect(toImmutableList());
  }
}
