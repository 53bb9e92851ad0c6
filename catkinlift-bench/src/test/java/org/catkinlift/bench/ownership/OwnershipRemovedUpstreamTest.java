package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.time.Duration;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Guards against taking the removal of an upstream from the configuration as its end. */
final class OwnershipRemovedUpstreamTest {
  private static final Duration SETTLE = Duration.ofSeconds(5);

  private final OwnershipWorld world = world();

  private static OwnershipWorld world() {
    var kind = new ServiceKind.Keyed(32, CutOffRule.hold(), GrantChecking.checked());
    return OwnershipWorlds.of(kind, 1, 3, 3, 4);
  }

  private void remove(UpstreamId removed) {
    Configuration configuration = world.configuration();
    ServiceDefinition service = Iterables.getOnlyElement(configuration.services().values());
    var changed =
        new ServiceDefinition(
            service.name(),
            service.kind(),
            service.zones(),
            service.upstreams().stream()
                .filter(u -> !u.id().equals(removed))
                .collect(toImmutableList()),
            service.zoneLimit());
    world.accept(
        configuration.toBuilder().services(ImmutableMap.of(service.name(), changed)).build());
  }

  private FakeUpstream cutOffUnderLongGrant() {
    world.advance(SETTLE);
    world.platform().setDown(true);
    world.advance(SETTLE);
    FakeUpstream removed = world.upstreams().getFirst();
    world.network().cut(ImmutableSet.of(removed.definition().id().value()));
    return removed;
  }

  private void assertSlotsHaveOneOwner(FakeUpstream removed) {
    assertThat(removed.slots().keySet().stream().filter(removed::owns).count()).isGreaterThan(5L);
    assertThat(world.checks().violations()).isEmpty();
  }

  /** A coordinator that kept its state knows the long grant. */
  @Test
  void slotsOfRemovedUpstreamWaitForItsLongGrant() {
    FakeUpstream removed = cutOffUnderLongGrant();
    world.platform().setDown(false);
    remove(removed.definition().id());
    world.advance(SETTLE.multipliedBy(2));

    assertSlotsHaveOneOwner(removed);
  }

  /** The grant is unknown to the new run, and the upstream is not among those that must answer. */
  @Test
  void slotsOfRemovedUpstreamWaitForItsLongGrantAfterRestartOfCoordinator() {
    FakeUpstream removed = cutOffUnderLongGrant();
    FakeHost coordinator = world.coordinator("zone1").orElseThrow();
    coordinator.lose();
    remove(removed.definition().id());
    world.platform().setDown(false);
    coordinator.recover();
    world.advance(SETTLE.multipliedBy(2));

    assertSlotsHaveOneOwner(removed);
  }
}
