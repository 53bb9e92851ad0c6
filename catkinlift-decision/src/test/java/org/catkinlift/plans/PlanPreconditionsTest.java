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

final class PlanPreconditionsTest {
  private static final ServiceDefinition SERVICE = FakeSite.service("desk", 4, "suva");
  private static final HostDefinition FIRST = FakeSite.host("suva", 1);
  private static final HostDefinition SECOND = FakeSite.host("suva", 2);

  private static PlanInputs inputs(HostDefinition... hosts) {
    Configuration configuration =
        Configuration.builder()
            .version(5)
            .services(ImmutableMap.of(SERVICE.name(), SERVICE))
            .build();
    return new PlanInputs(
        configuration, ImmutableList.of(), ImmutableMap.of(), ImmutableSet.copyOf(hosts));
  }

  /**
   * Guards against retiring the last host of a cell because another host was lost after the plan
   * was made.
   */
  @Test
  void missingHostIsAReversibleConflict() {
    Plan plan =
        PlanBuilder.plan(new Intent.RetireHost(HostId.of("suva-02")), inputs(FIRST, SECOND));
    assertThat(PlanPreconditions.changes(plan, inputs(FIRST, SECOND)).descriptions()).isEmpty();

    PlanPreconditions.Changes changes = PlanPreconditions.changes(plan, inputs(SECOND));

    assertThat(changes.descriptions())
        .containsExactly("host suva-02 is the last of cell suva with upstreams");
    assertThat(changes.isPermanent()).isFalse();
  }
}
