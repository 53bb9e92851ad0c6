package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceKind;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against taking the answer of a process at a new address as the end of the former one. */
final class OwnershipMovedUpstreamTest {
  private static final Duration SETTLE = Duration.ofSeconds(5);
  private static final NetworkAddress NEW_ADDRESS = NetworkAddress.of("127.0.0.1", 2);

  private final OwnershipWorld world =
      OwnershipWorlds.of(
          new ServiceKind.Keyed(32, CutOffRule.hold(), GrantChecking.checked()), 1, 3, 3, 4);

  /** The process at the new address has another instance, like one that was restarted. */
  @Tag("known-red")
  @Test
  void processAtNewAddressWaitsForTheGrantsAtTheFormerAddress() {
    world.advance(SETTLE);
    FakeUpstream former = world.upstreams().getFirst();
    assertThat(former.slots()).isNotEmpty();
    world.moveUpstream(former.definition().id(), NEW_ADDRESS);
    world.advance(SETTLE);

    assertThat(world.upstreams().getFirst().slots()).isNotEmpty();
    assertThat(world.checks().violations()).isEmpty();
  }
}
