package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against errors in the time for which the long grants of a platform outage count. */
final class OwnershipAfterOutageTest {
  private static final Duration SETTLE = Duration.ofSeconds(5);

  /** The longest time for which a key may be unavailable after a loss. */
  private static final Duration TARGET = Duration.ofSeconds(3);

  private final OwnershipWorld world = world();
  private final Unavailability gaps = new Unavailability(world);

  private static OwnershipWorld world() {
    var kind = new ServiceKind.Keyed(32, CutOffRule.hold(), GrantChecking.checked());
    return OwnershipWorlds.of(kind, 1, 3, 3, 4);
  }

  private void passOutage() {
    world.advance(SETTLE);
    world.platform().setDown(true);
    world.advance(SETTLE);
    world.platform().setDown(false);
    world.advance(SETTLE);
  }

  private void assertServedWithinTarget() {
    gaps.advance(SETTLE.multipliedBy(2));
    assertThat(gaps.longest()).isLessThan(TARGET);
    assertThat(gaps.servedShare()).isEqualTo(1.0);
    assertThat(world.checks().violations()).isEmpty();
  }

  @Test
  void slotsOfUpstreamLostAfterOutageAreServedInTime() {
    passOutage();
    world.network().cut(ImmutableSet.of("up1-0"));
    assertServedWithinTarget();
  }

  @Test
  void slotsAreServedInTimeWhenCoordinatorIsLostAfterOutage() {
    passOutage();
    world.coordinator("zone1").orElseThrow().lose();
    assertServedWithinTarget();
  }

  /**
   * Guards against a successor that moves slots of an upstream whose long grant it does not know:
   * the former coordinator resigned before this upstream had got a short one.
   */
  @Test
  void coordinatorDoesNotResignWhileLongGrantIsInForce() {
    world.advance(SETTLE);
    world.platform().setDown(true);
    world.advance(SETTLE);
    world.platform().setDown(false);
    world.network().cut(ImmutableSet.of("up1-0"));
    world.coordinator("zone1").orElseThrow().stop();
    world.advance(SETTLE.multipliedBy(4));
    assertThat(world.checks().violations()).isEmpty();
  }
}
