package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Guards against a hold that ends in the record before it ends at the upstream. */
final class PossibleHoldsTest {
  private static final GrantDestination A =
      new GrantDestination(UpstreamId.of("u-a"), NetworkAddress.of("10.0.0.1", 80));
  private static final GrantDestination B =
      new GrantDestination(UpstreamId.of("u-b"), NetworkAddress.of("10.0.0.2", 80));
  private static final KeyRange RANGE = new KeyRange(10, 19);

  private final PossibleHolds holds = new PossibleHolds();

  @Test
  void aGrantThatWasNotSentLeavesTheEarlierHold() {
    holds.grantStarted(1, A, RANGE);
    holds.grantCallEnded(1, A, 500);
    holds.grantStarted(2, A, RANGE);
    holds.grantNotSent(2, A);

    assertThat(holds.mayHold(A, RANGE, 500)).isTrue();
    assertThat(holds.mayHold(A, RANGE, 501)).isFalse();
  }

  @Test
  void theEndOfACallBoundsItsOwnGrantOnly() {
    holds.grantStarted(1, A, RANGE);
    holds.grantCallEnded(1, A, 700);
    holds.grantStarted(2, A, RANGE);
    holds.grantCallEnded(2, A, 600);

    assertThat(holds.expiryNanos(A, RANGE)).hasValue(700);
  }

  @Test
  void aReleaseEndsTheReleasedKeysOfEarlierGrantsOnly() {
    holds.grantStarted(1, A, RANGE);
    holds.grantCallEnded(1, A, 500);
    holds.grantStarted(3, A, new KeyRange(12, 13));
    holds.released(2, A, new KeyRange(11, 18));

    assertThat(holds.mayHold(A, new KeyRange(10, 10), 0)).isTrue();
    assertThat(holds.mayHold(A, new KeyRange(11, 11), 0)).isFalse();
    assertThat(holds.mayHold(A, new KeyRange(12, 13), 0)).isTrue();
    assertThat(holds.mayHold(A, new KeyRange(14, 18), 0)).isFalse();
    assertThat(holds.mayHold(A, new KeyRange(19, 19), 0)).isTrue();
  }

  @Test
  void aGrantInFlightHoldsUntilItsCallEnds() {
    holds.grantStarted(1, A, RANGE);
    holds.removeExpired(600);

    assertThat(holds.mayHold(A, RANGE, 600)).isTrue();
    assertThat(holds.isGrantInFlight(A, RANGE)).isTrue();
    holds.grantCallEnded(1, A, 700);
    assertThat(holds.isGrantInFlight(A, RANGE)).isFalse();
    assertThat(holds.mayHold(A, RANGE, 701)).isFalse();
  }

  @Test
  void aGrantOfAnEarlierCoordinatorEndsByARelease() {
    holds.grantedByEarlierCoordinator(B, RANGE, 500);
    assertThat(holds.mayHold(B, RANGE, 500)).isTrue();
    holds.released(1, B, RANGE);
    assertThat(holds.mayHold(B, RANGE, 0)).isFalse();
  }
}
