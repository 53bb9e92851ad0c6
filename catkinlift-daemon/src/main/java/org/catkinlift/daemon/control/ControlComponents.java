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
 * The control components of one daemon and the state that they share.
 *
 * @param ordered the components, in the order in which they handle each event
 * @param membership provides the known daemons
 * @param ownership provides the coordinator role and the dispatch leases
 * @param store holds the versioned values that are replicated among daemons
 * @param calls numbers platform calls, upstream calls and operator requests
 * @param decisions keeps recent decisions for operators
 * @param configurationAge provides the time since the configuration in force was last known to be
 *     the newest
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
   * Creates the control components of a daemon.
   *
   * @param self this daemon
   * @param seeds the other daemons named in the settings
   * @param random the source of random numbers
   * @return the components
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
