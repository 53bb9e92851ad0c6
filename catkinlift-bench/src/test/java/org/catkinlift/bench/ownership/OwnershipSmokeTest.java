package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against cells that never come into service. */
final class OwnershipSmokeTest {

  @Test
  void everySlotIsServedSoonAfterTheStart() {
    for (CutOffRule rule : new CutOffRule[] {CutOffRule.hold(), CutOffRule.lapse()}) {
      for (GrantChecking checking :
          new GrantChecking[] {GrantChecking.checked(), GrantChecking.unchecked()}) {
        var kind = new ServiceKind.Keyed(64, rule, checking);
        OwnershipWorld world = OwnershipWorlds.of(kind, 3, 3, 9, 4);
        world.advance(Duration.ofSeconds(10));
        assertThat(world.servedSlots().cardinality()).isEqualTo(64);
        assertThat(world.checks().violations()).isEmpty();
      }
    }
  }
}
