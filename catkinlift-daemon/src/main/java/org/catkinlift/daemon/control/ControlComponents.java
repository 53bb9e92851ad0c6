package org.catkinlift.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.SplittableRandom;
import org.catkinlift.configuration.ConfigurationAge;
import org.catkinlift.configuration.DisseminationControl;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.VersionStore;
import org.catkinlift.events.DecisionLog;
import org.catkinlift.membership.MembershipControl;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.ownership.CellControl;
import org.catkinlift.plans.PlanControl;

/**
 * Holds the decisions of one daemon's control thread and what they share.
 *
 * @param ordered the parts, in the order in which they see each event
 * @param membership shows the known daemons
 * @param ownership shows the coordinator role and the dispatch leases
 * @param store keeps the values that spread among daemons
 * @param calls numbers calls to the platform, to upstreams and of operators
 * @param decisions keeps the decisions that the parts log, for operators
 * @param configurationAge shows when the configuration in force was last known to be the newest
 */
public record ControlComponents(
    ImmutableList<ControlComponent> ordered,
    MembershipView membership,
    OwnershipView ownership,
    VersionStore store,
    CallNumbers calls,
    DecisionLog decisions,
    ConfigurationAge configurationAge) {

  /**
   * Creates the parts of a daemon.
   *
   * @param self the daemon
   * @param seeds the other daemons that its settings name
   * @param random the source of random numbers
   * @return the parts
   */
  public static ControlComponents create(
      HostDefinition self, ImmutableSet<HostDefinition> seeds, SplittableRandom random) {
    var store = new VersionStore();
    var calls = new CallNumbers();
    var decisions = new DecisionLog();
    MembershipControl membership =
        MembershipControl.builder().self(self).seeds(seeds).calls(calls).build();
    CellControl cell =
        CellControl.builder()
            .self(self)
            .store(store)
            .members(membership)
            .calls(calls)
            .run(Long.toHexString(random.nextLong()))
            .build();
    DisseminationControl dissemination =
        DisseminationControl.builder()
            .store(store)
            .members(membership)
            .ownership(cell)
            .calls(calls)
            .random(random.split())
            .build();
    PlanControl plans =
        PlanControl.builder()
            .store(store)
            .members(membership)
            .ownership(cell)
            .calls(calls)
            .configurationAge(dissemination)
            .decisions(decisions)
            .build();
    return new ControlComponents(
        ImmutableList.of(membership, cell, dissemination, plans),
        membership,
        cell,
        store,
        calls,
        decisions,
        dissemination);
  }
}
