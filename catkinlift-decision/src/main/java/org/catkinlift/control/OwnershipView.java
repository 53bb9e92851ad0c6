package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostId;

/** Shows who coordinates this daemon's cell and what this daemon may dispatch. */
public interface OwnershipView {

  /**
   * Returns the coordinator of this daemon's cell as far as this daemon knows.
   *
   * @return the coordinator, if one is known
   */
  Optional<HostId> coordinator();

  /**
   * Tells whether this daemon is the coordinator and has authority now.
   *
   * @param nowNanos the time
   * @return true if it may decide for the cell
   */
  boolean hasAuthority(long nowNanos);

  /**
   * Returns the dispatch leases that this daemon holds now.
   *
   * @param nowNanos the time
   * @return the leases, with the time that remains of each
   */
  ImmutableList<DispatchLease> heldLeases(long nowNanos);

  /**
   * Returns the dispatch leases that this daemon holds now and those that it has given up.
   *
   * @param nowNanos the time
   * @return the duties of its dispatchers
   */
  default DispatchLeaseSnapshot dispatchLeases(long nowNanos) {
    return new DispatchLeaseSnapshot(heldLeases(nowNanos), ImmutableMap.of(), nowNanos);
  }
}
