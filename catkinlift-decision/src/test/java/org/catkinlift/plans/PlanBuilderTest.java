package org.catkinlift.plans;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;

final class PlanBuilderTest {
  private static final ServiceName SERVICE_NAME = ServiceName.of("desk");
  private static final ServiceDefinition SERVICE =
      FakeSite.service("desk", 4, "suva", "nadi", "lautoka");
  private static final ImmutableSet<HostDefinition> HOSTS =
      ImmutableSet.of(
          FakeSite.host("suva", 1),
          FakeSite.host("suva", 2),
          FakeSite.host("nadi", 1),
          FakeSite.host("lautoka", 1));
  private static final Configuration CONFIGURATION =
      Configuration.builder().version(5).services(ImmutableMap.of(SERVICE_NAME, SERVICE)).build();

  /** Assigns the slots to the upstreams round robin. */
  private static ImmutableList<Assignment> assignments() {
    var slots = new ImmutableSortedMap.Builder<Integer, SlotOwner>(Integer::compare);
    for (int slot = 0; slot < 64; slot++) {
      UpstreamId owner = SERVICE.upstreams().get(slot % 6).id();
      slots.put(slot, SlotOwner.of(owner, Epoch.of(1, slot)));
    }
    return ImmutableList.of(
        new Assignment(
            SERVICE_NAME, CellId.of("suva"), Epoch.of(1, 64), slots.build(), ImmutableMap.of()));
  }

  private static PlanInputs inputs(Configuration configuration, double load) {
    ImmutableMap<UpstreamId, Double> loads =
        SERVICE.upstreams().stream().collect(toImmutableMap(UpstreamDefinition::id, u -> load));
    return new PlanInputs(configuration, assignments(), loads, HOSTS);
  }

  private static Plan plan(Intent intent) {
    return PlanBuilder.plan(intent, inputs(CONFIGURATION, 1));
  }

  private static void assertRefused(Plan plan, String reason) {
    assertThat(Iterables.getOnlyElement(plan.refusals())).contains(reason);
  }

  /** Guards against a drain that leaves slots in the availability zone or moves slots of others. */
  @Test
  void drainMovesExactlyTheSlotsOfTheZone() {
    Plan plan = plan(new Intent.DrainZone(ZoneName.of("nadi")));

    assertThat(plan.refusals()).isEmpty();
    assertThat(plan.result().version()).isEqualTo(6);
    assertThat(plan.moves().stream().mapToInt(Plan.Move::slots).sum()).isEqualTo(22);
    for (Plan.Move move : plan.moves()) {
      assertThat(move.from().orElseThrow().value()).startsWith("desk-nadi");
      assertThat(move.to().orElseThrow().value()).doesNotContain("nadi");
    }
    assertThat(plan.loads().stream().map(Plan.Load::subject)).contains("zone/suva");
    assertThat(plan.loads().stream().map(Plan.Load::subject)).doesNotContain("zone/nadi");
    assertThat(plan.assignmentVersions()).containsExactly("desk/suva", Epoch.of(1, 64));
    assertThat(plan.expectedDuration()).isEqualTo(Duration.ofSeconds(8));
  }

  /** Guards against a drain that overloads the remaining availability zones in total. */
  @Test
  void drainThatLeavesTooLittleCapacityIsRefused() {
    Intent drain = new Intent.DrainZone(ZoneName.of("nadi"));
    assertThat(PlanBuilder.plan(drain, inputs(CONFIGURATION, 2.5)).refusals()).isEmpty();
    assertRefused(
        PlanBuilder.plan(drain, inputs(CONFIGURATION, 3)),
        "service desk needs 18.0 requests in flight, and the remaining upstreams bear 16");
  }

  /**
   * Guards against a drain that sends an availability zone more load than the zone limit allows.
   */
  @Test
  void drainThatExceedsAZoneLimitIsRefused() {
    var limited =
        new ServiceDefinition(
            SERVICE_NAME, SERVICE.kind(), SERVICE.zones(), SERVICE.upstreams(), 6);
    Configuration configuration =
        CONFIGURATION.toBuilder().services(ImmutableMap.of(SERVICE_NAME, limited)).build();
    Intent drain = new Intent.DrainZone(ZoneName.of("nadi"));
    assertThat(PlanBuilder.plan(drain, unevenInputs(configuration, 1)).refusals()).isEmpty();
    assertRefused(
        PlanBuilder.plan(drain, unevenInputs(configuration, 1.75)),
        "zone/suva would have 6.6 requests in flight, and it bears 6");
  }

  /** Returns inputs with 40 slots in suva and 12 each in nadi and lautoka. */
  private static PlanInputs unevenInputs(Configuration configuration, double load) {
    PlanInputs evenInputs = inputs(configuration, load);
    var slots = new ImmutableSortedMap.Builder<Integer, SlotOwner>(Integer::compare);
    for (int slot = 0; slot < 64; slot++) {
      int index = slot < 24 ? 2 + slot % 4 : slot % 2;
      UpstreamId owner = SERVICE.upstreams().get(index).id();
      slots.put(slot, SlotOwner.of(owner, Epoch.of(1, slot)));
    }
    var assignment =
        new Assignment(
            SERVICE_NAME, CellId.of("suva"), Epoch.of(1, 64), slots.build(), ImmutableMap.of());
    return new PlanInputs(configuration, ImmutableList.of(assignment), evenInputs.loads(), HOSTS);
  }

  /** Guards against taking the last availability zone out of service. */
  @Test
  void lastZoneCannotBeDrainedOrDeclaredLost() {
    Configuration onlyLautokaInService =
        CONFIGURATION.toBuilder()
            .drainedZones(ImmutableSet.of(ZoneName.of("nadi"), ZoneName.of("suva")))
            .build();
    ZoneName lautoka = ZoneName.of("lautoka");
    assertRefused(
        PlanBuilder.plan(new Intent.DrainZone(lautoka), inputs(onlyLautokaInService, 1)),
        "no upstream left");
    assertRefused(
        PlanBuilder.plan(
            new Intent.DeclareZoneLost(lautoka, true), inputs(onlyLautokaInService, 1)),
        "no upstream left");
  }

  /**
   * Guards against two owners of a key: an availability zone that is only isolated may keep serving
   * after others have taken over its slots.
   */
  @Test
  void zoneIsDeclaredLostOnlyIfHostsAreOffOrIsolationLimitIsSet() {
    ZoneName nadi = ZoneName.of("nadi");
    assertRefused(plan(new Intent.DeclareZoneLost(nadi, false)), "switched off");
    assertThat(plan(new Intent.DeclareZoneLost(nadi, true)).refusals()).isEmpty();

    var rule =
        new CutOffRule.Hold(CutOffRule.DEFAULT_LONG_PROMISE, Optional.of(Duration.ofSeconds(90)));
    var kind = new ServiceKind.Keyed(64, rule, GrantChecking.checked());
    var limited =
        new ServiceDefinition(
            SERVICE_NAME, kind, SERVICE.zones(), SERVICE.upstreams(), SERVICE.zoneLimit());
    Configuration configuration =
        CONFIGURATION.toBuilder().services(ImmutableMap.of(SERVICE_NAME, limited)).build();
    Plan plan = PlanBuilder.plan(new Intent.DeclareZoneLost(nadi, false), inputs(configuration, 1));
    assertThat(plan.refusals()).isEmpty();
    assertThat(plan.expectedDuration()).isEqualTo(Duration.ofSeconds(98));
  }

  /** Guards against intents that name something that does not exist or change nothing. */
  @Test
  void unknownNamesAndIntentsWithoutEffectAreRefused() {
    assertRefused(plan(new Intent.DrainZone(ZoneName.of("labasa"))), "neither a host");
    assertRefused(plan(new Intent.ReturnZone(ZoneName.of("nadi"))), "is not out");
    assertRefused(plan(new Intent.RemoveService(ServiceName.of("other"))), "does not exist");
    assertRefused(plan(new Intent.RetireUpstream(UpstreamId.of("none"))), "does not exist");
    assertRefused(plan(new Intent.RetireHost(HostId.of("none"))), "is not known");
    assertRefused(plan(new Intent.PutService(SERVICE)), "already has this definition");
    assertRefused(plan(new Intent.RetireHost(HostId.of("nadi-01"))), "is the last of cell");
    assertThat(plan(new Intent.RetireHost(HostId.of("suva-01"))).refusals()).isEmpty();
  }

  /** Guards against moves to other availability zones when one upstream of a cell is retired. */
  @Test
  void slotsOfRetiredUpstreamStayInItsCell() {
    Plan plan = plan(new Intent.RetireUpstream(UpstreamId.of("desk-suva-1")));

    Plan.Move move = Iterables.getOnlyElement(plan.moves());
    assertThat(move.to()).hasValue(UpstreamId.of("desk-suva-2"));
    assertThat(move.slots()).isEqualTo(11);
  }

  /** Guards against a returning availability zone that gets more slots than its fair share. */
  @Test
  void returningZoneTakesNoMoreThanItsFairShare() {
    Configuration drained =
        CONFIGURATION.toBuilder().drainedZones(ImmutableSet.of(ZoneName.of("nadi"))).build();
    var slots = new ImmutableSortedMap.Builder<Integer, SlotOwner>(Integer::compare);
    ImmutableList<UpstreamDefinition> admitted =
        SERVICE.upstreams().stream()
            .filter(drained::admits)
            .collect(ImmutableList.toImmutableList());
    for (int slot = 0; slot < 64; slot++) {
      slots.put(slot, SlotOwner.of(admitted.get(slot % 4).id(), Epoch.of(1, slot)));
    }
    var assignment =
        new Assignment(
            SERVICE_NAME, CellId.of("suva"), Epoch.of(1, 1), slots.build(), ImmutableMap.of());
    var inputs = new PlanInputs(drained, ImmutableList.of(assignment), ImmutableMap.of(), HOSTS);

    Plan plan = PlanBuilder.plan(new Intent.ReturnZone(ZoneName.of("nadi")), inputs);

    assertThat(plan.moves().stream().mapToInt(Plan.Move::slots).sum()).isEqualTo(20);
    for (Plan.Move move : plan.moves()) {
      assertThat(move.to().orElseThrow().value()).startsWith("desk-nadi");
    }
  }

  /** Guards against accepting a service definition that daemons cannot apply. */
  @Test
  void invalidServiceDefinitionIsRefused() {
    var kind = new ServiceKind.Keyed(128, CutOffRule.hold(), GrantChecking.checked());
    var repartitioned =
        new ServiceDefinition(SERVICE_NAME, kind, SERVICE.zones(), SERVICE.upstreams(), 0);
    assertRefused(
        plan(new Intent.PutService(repartitioned)), "cannot change how its keys are divided");
    assertThat(plan(new Intent.PutService(FakeSite.service("new", 1, "labasa"))).refusals())
        .hasSize(2);
    ServiceDefinition newService = FakeSite.service("new", 1, "suva", "nadi");
    Plan plan = plan(new Intent.PutService(newService));
    assertThat(plan.refusals()).isEmpty();
    assertThat(plan.moves().stream().mapToInt(Plan.Move::slots).sum()).isEqualTo(64);
  }

  /** Guards against plan ids that differ for the same plan or are shared by different plans. */
  @Test
  void idDependsOnIntentAndVersionsOnly() {
    Intent drain = new Intent.DrainZone(ZoneName.of("nadi"));
    assertThat(plan(drain).id()).isEqualTo(plan(drain).id());
    assertThat(plan(new Intent.DrainZone(ZoneName.of("suva"))).id()).isNotEqualTo(plan(drain).id());
    Configuration later = CONFIGURATION.toBuilder().version(6).build();
    assertThat(PlanBuilder.plan(drain, inputs(later, 1)).id()).isNotEqualTo(plan(drain).id());
  }
}
