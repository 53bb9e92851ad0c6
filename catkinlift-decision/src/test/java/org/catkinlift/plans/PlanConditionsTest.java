package org.catkinlift.plans;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.junit.jupiter.api.Test;

final class PlanConditionsTest {
  private static final ServiceDefinition SERVICE = FakeSite.service("desk", 4, "suva");
  private static final HostDefinition FIRST = FakeSite.host("suva", 1);
  private static final HostDefinition SECOND = FakeSite.host("suva", 2);

  private static PlanBasis basis(HostDefinition... hosts) {
    Configuration configuration =
        Configuration.builder()
            .version(5)
            .services(ImmutableMap.of(SERVICE.name(), SERVICE))
            .build();
    return new PlanBasis(
        configuration, ImmutableList.of(), ImmutableMap.of(), ImmutableSet.copyOf(hosts));
  }

  /** Guards against retiring the last host of a cell, which was not the last in the plan. */
  @Test
  void vanishedHostIsNamedAndMayComeBack() {
    Plan plan = PlanBuilder.plan(new Intent.RetireHost(HostId.of("suva-02")), basis(FIRST, SECOND));
    assertThat(PlanConditions.changes(plan, basis(FIRST, SECOND)).phrases()).isEmpty();

    PlanConditions.Changes changes = PlanConditions.changes(plan, basis(SECOND));

    assertThat(changes.phrases())
        .containsExactly("host suva-02 is the last of cell suva with upstreams");
    assertThat(changes.isFinal()).isFalse();
  }
}
