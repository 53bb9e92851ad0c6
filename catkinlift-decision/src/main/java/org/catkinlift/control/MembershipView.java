package org.catkinlift.control;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/** Provides the daemons that this daemon knows. */
public interface MembershipView {

  /**
   * Returns this daemon's own definition.
   *
   * @return the definition
   */
  HostDefinition self();

  /**
   * Returns all known daemons, this one included.
   *
   * @return the definitions
   */
  ImmutableSet<HostDefinition> known();

  /**
   * Returns the daemons of a cell that were heard from recently and are not about to leave.
   *
   * @param cell the cell
   * @param nowNanos the time
   * @return the hosts, this one included if it is of this cell
   */
  ImmutableSet<HostId> live(CellId cell, long nowNanos);

  /**
   * Returns a daemon's definition.
   *
   * @param host the host
   * @return the definition, if the daemon is known
   */
  Optional<HostDefinition> find(HostId host);
}
