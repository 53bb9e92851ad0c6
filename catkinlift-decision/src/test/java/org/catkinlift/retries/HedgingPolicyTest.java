package org.catkinlift.retries;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.ServiceKind;
import org.junit.jupiter.api.Test;

final class HedgingPolicyTest {
  private static final Outcome LOST = Outcome.unknown(RefusalCode.CONNECTION_LOST);

  private final HedgingPolicy policy = new HedgingPolicy();
  private final HedgeRace race = new HedgeRace(1);

  @Test
  void onlyRepeatableRequestsOfSharedServicesAreHedgedAfterP95() {
    for (int i = 1; i <= 64; i++) {
      policy.answered(Duration.ofMillis(i));
    }
    Duration delay = policy.delay(RequestClass.REPEATABLE, ServiceKind.shared()).orElseThrow();
    assertThat(delay).isGreaterThan(Duration.ofMillis(59));
    assertThat(delay).isLessThan(Duration.ofMillis(62));
    assertThat(policy.delay(RequestClass.AT_MOST_ONCE, ServiceKind.shared())).isEmpty();
    assertThat(policy.delay(RequestClass.REPEATABLE, ServiceKind.keyed())).isEmpty();
  }

  @Test
  void hedgesAreAtMostFivePercentOfRequests() {
    int hedges = 0;
    for (int i = 0; i < 1_000; i++) {
      policy.started();
      hedges += policy.tryTake() ? 1 : 0;
    }
    assertThat(hedges).isAnyOf(49, 50);
  }

  @Test
  void firstAnswerIsDeliveredAndTheLoserCancelledAndDropped() {
    race.hedged(2);
    assertThat(race.answered(2)).isEqualTo(new HedgeRace.Step.Deliver(2, ImmutableList.of(1L)));
    assertThat(race.answered(1)).isEqualTo(new HedgeRace.Step.Drop());
  }

  @Test
  void unknownOutcomeOfOneAttemptIsReportedAfterBothFail() {
    race.hedged(2);
    assertThat(race.failed(1, LOST)).isEqualTo(new HedgeRace.Step.Continue());
    assertThat(race.failed(2, Outcome.notRun(RefusalCode.QUEUE_FULL, Duration.ZERO)))
        .isEqualTo(new HedgeRace.Step.Fail(LOST));
  }
}
