package org.catkinlift.daemon.operator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.Plan;
import org.catkinlift.plans.PlanRecord;

/** Provides plans and intents that use every field of the operator API. */
final class SamplePlans {
  static final ServiceName DESK = ServiceName.of("order-desk");
  static final ZoneName SUVA = ZoneName.of("suva");
  static final UpstreamId UPSTREAM = UpstreamId.of("desk-01");
  static final ServiceDefinition SERVICE =
      new ServiceDefinition(
          DESK,
          new ServiceKind.Keyed(
              256,
              new CutOffRule.Hold(Duration.ofMinutes(5), Optional.of(Duration.ofMinutes(1))),
              new GrantChecking.Unchecked(Duration.ofMillis(300))),
          ImmutableSet.of(SUVA),
          ImmutableList.of(
              new UpstreamDefinition(
                  UPSTREAM, SUVA, CellId.of("suva-2"), NetworkAddress.of("::1", 8000), 4, 130)),
          12);
  static final ImmutableList<Intent> INTENTS =
      ImmutableList.of(
          new Intent.PutService(SERVICE),
          new Intent.RemoveService(DESK),
          new Intent.DrainZone(SUVA),
          new Intent.ReturnZone(SUVA),
          new Intent.DeclareZoneLost(SUVA, true),
          new Intent.RetireUpstream(UPSTREAM),
          new Intent.RetireHost(HostId.of("suva-1")));
  static final Configuration CONFIGURATION =
      Configuration.builder()
          .version(8)
          .services(ImmutableMap.of(DESK, SERVICE))
          .drainedZones(ImmutableSet.of(SUVA))
          .lostZones(ImmutableSet.of(ZoneName.of("nadi")))
          .retiringUpstreams(ImmutableSet.of(UPSTREAM))
          .retiringHosts(ImmutableSet.of(HostId.of("suva-1")))
          .build();

  private SamplePlans() {}

  static PlanRecord plan(Intent intent, PlanRecord.State state) {
    var plan =
        new Plan(
            PlanId.of("p-1"),
            intent,
            7,
            ImmutableMap.of("order-desk/suva", Epoch.of(3, 4)),
            CONFIGURATION,
            ImmutableList.of(
                new Plan.Move(DESK, Optional.of(UPSTREAM), Optional.empty(), 9),
                new Plan.Move(DESK, Optional.empty(), Optional.of(UPSTREAM), 3)),
            ImmutableList.of(new Plan.Load("upstream/desk-01", 2.5, 4)),
            Duration.ofMillis(1_500),
            ImmutableList.of("upstream desk-01 would exceed its limit"));
    return new PlanRecord(plan, state);
  }
}
