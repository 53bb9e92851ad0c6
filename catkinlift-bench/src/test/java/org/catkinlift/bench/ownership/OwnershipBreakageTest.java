package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against checks that see nothing: each one must report a deliberate defect. */
final class OwnershipBreakageTest {
  private static final double TOO_SLOW = 0.3;
  private static final double TOO_FAST = 3;

  private static OwnershipWorld world(GrantChecking checking) {
    var kind = new ServiceKind.Keyed(32, CutOffRule.hold(), checking);
    return OwnershipWorlds.of(kind, 1, 3, 3, 4);
  }

  @Test
  void upstreamWhoseClockIsTooSlowOwnsItsSlotsForTooLong() {
    OwnershipWorld world = world(GrantChecking.checked());
    world.upstreams().getFirst().setClockRate(TOO_SLOW);
    world.advance(Duration.ofSeconds(5));
    world.network().cut(ImmutableSet.of("up1-0"));
    world.advance(Duration.ofSeconds(5));
    assertThat(world.checks().violations().getFirst()).contains("owned by");
  }

  @Test
  void voterWhoseClockIsTooFastTakesTheRoleTooEarly() {
    OwnershipWorld world = world(GrantChecking.checked());
    world.hosts().forEach(h -> h.setClockRate(TOO_FAST));
    world.advance(Duration.ofSeconds(5));
    FakeHost holder = world.coordinator("zone1").orElseThrow();
    holder.setClockRateFromNow(1);
    world.advance(Duration.ofSeconds(5));
    world.network().cut(ImmutableSet.of(holder.id().value()));
    world.advance(Duration.ofSeconds(5));
    assertThat(world.checks().violations().getFirst()).contains("authority of");
  }

  @Test
  void dispatcherWhoseClockIsTooSlowKeepsItsLeaseForTooLong() {
    OwnershipWorld world = world(GrantChecking.unchecked());
    world.advance(Duration.ofSeconds(5));
    FakeHost dispatcher =
        world.hosts().stream()
            .filter(h -> !h.hasAuthority() && !h.leases().isEmpty())
            .findFirst()
            .orElseThrow();
    dispatcher.setClockRateFromNow(TOO_SLOW);
    world.advance(Duration.ofSeconds(2));
    world.network().cut(ImmutableSet.of(dispatcher.id().value()));
    world.advance(Duration.ofSeconds(5));
    assertThat(world.checks().violations().getFirst()).contains("dispatched by");
  }

  @Test
  void tableThatRevertsLosesAnAcknowledgedAssignment() {
    OwnershipWorld world = world(GrantChecking.checked());
    world.advance(Duration.ofSeconds(5));
    Row old = world.platform().row("assignment/orders/cell1").orElseThrow();
    world.upstreams().getFirst().lose();
    world.advance(Duration.ofSeconds(5));
    world.platform().revert(old);
    assertThat(world.checks().violations().toString()).contains("vanished");
    assertThat(world.checks().violations().toString()).contains("went back to version");
  }
}
