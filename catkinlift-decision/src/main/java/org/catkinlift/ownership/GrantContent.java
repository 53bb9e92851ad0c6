package org.catkinlift.ownership;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * The content of a grant to one upstream.
 *
 * @param service the service
 * @param upstream the upstream
 * @param dispatcher the only daemon whose requests it may accept
 * @param units the numbers of the granted slots and overrides, as in {@link UnitTable}
 * @param slots the slots with their epochs
 * @param overrides the overrides with their epochs
 */
record GrantContent(
    ServiceName service,
    UpstreamId upstream,
    HostId dispatcher,
    ImmutableSet<Integer> units,
    ImmutableSortedMap<Integer, Epoch> slots,
    ImmutableSortedMap<String, Epoch> overrides) {

  /** Creates a grant without slots, which only sets the dispatcher. */
  static GrantContent withoutSlots(ServiceName service, UpstreamId upstream, HostId dispatcher) {
    return new GrantContent(
        service,
        upstream,
        dispatcher,
        ImmutableSet.of(),
        ImmutableSortedMap.of(),
        ImmutableSortedMap.of());
  }
}
