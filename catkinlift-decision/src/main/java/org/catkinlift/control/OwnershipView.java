package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostId;

/** Provides the coordinator of this daemon's cell and the dispatch leases of this daemon. */
public interface OwnershipView {

  /**
   * Returns the coordinator of this daemon's cell.
   *
   * @return the coordinator, if one is known
   */
  Optional<HostId> coordinator();

  /**
   * Returns whether this daemon is the coordinator and has authority now.
   *
   * @param nowNanos the time
   * @return true if it may make decisions for the cell
   */
  boolean hasAuthority(long nowNanos);

  /**
   * Returns the dispatch leases that this daemon holds now.
   *
   * @param nowNanos the time
   * @return the leases with their remaining times
   */
  ImmutableList<DispatchLease> heldLeases(long nowNanos);

  /**
   * Returns the dispatch leases that this daemon holds now and those that were revoked.
   *
   * @param nowNanos the time
   * @return the leases
   */
  default DispatchLeaseSnapshot dispatchLeases(long nowNanos) {
    return new DispatchLeaseSnapshot(heldLeases(nowNanos), ImmutableMap.of(), nowNanos);
  }
}
