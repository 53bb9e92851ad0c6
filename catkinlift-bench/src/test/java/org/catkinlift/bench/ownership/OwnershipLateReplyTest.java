package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against two owners when the reply of an upstream arrives after a later request. */
final class OwnershipLateReplyTest {
  private static final Duration SETTLE = Duration.ofSeconds(5);

  /** Longer than the interval of release requests, so that two are on their way at once. */
  private static final Duration REPLY_DELAY = Duration.ofMillis(260);

  private static final Duration REQUEST_DELAY = Duration.ofMillis(200);
  private static final int MAX_WAIT_MILLIS = 500;
  private static final int STEP_MILLIS = 20;

  private static OwnershipWorld world() {
    var kind = new ServiceKind.Keyed(32, CutOffRule.hold(), GrantChecking.checked());
    return OwnershipWorlds.of(kind, 1, 3, 3, 4);
  }

  private static void setRetiring(OwnershipWorld world, boolean retiring) {
    var id = world.upstreams().getFirst().definition().id();
    world.accept(
        world.configuration().toBuilder()
            .retiringUpstreams(retiring ? ImmutableSet.of(id) : ImmutableSet.of())
            .build());
  }

  /**
   * Guards against the reply to an earlier release request that ends the wait for a slot which the
   * upstream has been granted again since.
   */
  @Test
  void replyToEarlierReleaseDoesNotReleaseSlotGrantedAgain() {
    for (int wait = 0; wait < MAX_WAIT_MILLIS; wait += STEP_MILLIS) {
      OwnershipWorld world = world();
      world.advance(SETTLE);
      world.network().delay(world.coordinator("zone1").orElseThrow().id().value(), REPLY_DELAY);
      setRetiring(world, true);
      world.advance(REQUEST_DELAY);
      setRetiring(world, false);
      world.advance(Duration.ofMillis(wait));
      world.network().delay("up1-0", REQUEST_DELAY);
      setRetiring(world, true);
      world.advance(SETTLE);
      assertWithMessage("wait of %s ms", wait).that(world.checks().violations()).isEmpty();
    }
  }
}
