package org.catkinlift.control;

import com.google.common.collect.ImmutableSortedSet;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostId;
import org.catkinlift.plans.PlanRecord;

/** The typed content of a row in the platform's table; the adapter encodes it. */
public sealed interface RowValue {

  /**
   * The rows {@code cell/<cell>} and {@code takeover/<cell>}: the coordinator of the cell.
   *
   * @param holder the coordinator
   * @param term the coordinator's term; terms number the coordinators of a cell consecutively
   * @param voters the daemons that may take the role, the holder included
   * @param renewal the number of renewals of the platform lease within this term
   */
  record CellRow(HostId holder, long term, ImmutableSortedSet<HostId> voters, long renewal)
      implements RowValue {}

  /**
   * The row {@code home/<service>}: the home cell of each slot.
   *
   * @param homes the home map
   */
  record HomeRow(HomeMap homes) implements RowValue {}

  /**
   * The row {@code assignment/<service>/<cell>}.
   *
   * @param assignment the owners of the slots
   */
  record AssignmentRow(Assignment assignment) implements RowValue {}

  /**
   * The row {@code config/head}: the newest configuration.
   *
   * @param configuration the configuration
   */
  record ConfigurationRow(Configuration configuration) implements RowValue {}

  /**
   * The row {@code plan/<plan>}.
   *
   * @param plan the plan and its state
   */
  record PlanRow(PlanRecord plan) implements RowValue {}
}
