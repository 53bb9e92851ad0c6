package org.catkinlift.bench.ownership;

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
import org.junit.jupiter.api.Test;

/** Guards against two owners when the definition of a service changes while a slot moves. */
final class OwnershipServiceChangeTest {
  private static final Duration SETTLE = Duration.ofSeconds(5);

  private final OwnershipWorld world = world();

  private static OwnershipWorld world() {
    var kind = new ServiceKind.Keyed(32, CutOffRule.hold(), GrantChecking.checked());
    return OwnershipWorlds.of(kind, 1, 3, 3, 4);
  }

  /** Changes a value of the service that concerns neither its slots nor its upstreams. */
  private void changeZoneLimit() {
    Configuration configuration = world.configuration();
    ServiceDefinition service = Iterables.getOnlyElement(configuration.services().values());
    var changed =
        new ServiceDefinition(
            service.name(), service.kind(), service.zones(), service.upstreams(), 100);
    world.accept(
        configuration.toBuilder().services(ImmutableMap.of(service.name(), changed)).build());
  }

  /**
   * Guards against a coordinator that forgets the releases in progress when an operator changes the
   * service: the slots of a lost upstream went to others during its long grant.
   */
  @Test
  void slotsOfLostUpstreamWaitForItsLongGrantAfterChangeOfService() {
    world.advance(SETTLE);
    world.platform().setDown(true);
    world.advance(SETTLE);
    FakeUpstream lost = world.upstreams().getFirst();
    world.network().cut(ImmutableSet.of(lost.definition().id().value()));
    world.advance(SETTLE);
    world.platform().setDown(false);
    world.advance(SETTLE);
    changeZoneLimit();
    world.advance(SETTLE);
    assertThat(lost.slots().keySet().stream().filter(lost::owns).count()).isGreaterThan(5L);
    assertThat(world.checks().violations()).isEmpty();
  }
}
