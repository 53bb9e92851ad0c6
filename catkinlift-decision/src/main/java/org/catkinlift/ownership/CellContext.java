package org.catkinlift.ownership;

import org.catkinlift.control.MembershipView;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/** The dependencies shared by all classes of one daemon's {@link CellControl}. */
record CellContext(
    HostDefinition self,
    VersionStore store,
    MembershipView members,
    OwnershipTimings timings,
    RequestIds ids,
    PlatformReachability platform) {

  HostId host() {
    return self.id();
  }

  CellId cell() {
    return self.cell();
  }
}
