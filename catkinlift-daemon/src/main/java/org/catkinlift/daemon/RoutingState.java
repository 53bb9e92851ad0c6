package org.catkinlift.daemon;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.routing.RoutingSnapshot;

/**
 * Holds what traffic threads read: the routing snapshot and the addresses of other daemons.
 *
 * @param snapshot the snapshot for routing decisions
 * @param hosts the daemons that this one knows
 * @param generation counts the states of this daemon
 */
public record RoutingState(
    RoutingSnapshot snapshot, ImmutableMap<HostId, HostDefinition> hosts, long generation) {}
