package org.catkinlift.daemon;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.routing.RoutingSnapshot;

/**
 * The state that traffic threads read: the routing snapshot and the addresses of other daemons.
 *
 * @param snapshot the snapshot for routing decisions
 * @param hosts the known daemons
 * @param generation increases with each state that this daemon publishes
 */
public record RoutingState(
    RoutingSnapshot snapshot, ImmutableMap<HostId, HostDefinition> hosts, long generation) {}
