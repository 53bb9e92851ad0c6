package org.catkinlift.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class SlowStartLimiterTest {
  private static final Duration USUAL = Duration.ofMillis(10);
  private static final Duration SLOW = Duration.ofMillis(31);
  private static final long LATER = Duration.ofSeconds(1).toNanos();

  private final SlowStartLimiter limiter = new SlowStartLimiter(UpstreamId.of("u"), 4);

  @Test
  void restartedUpstreamGrowsByCompletedWork() {
    restart();
    int[] limits = {2, 2, 3, 3, 3, 4};
    for (int expected : limits) {
      var unused = limiter.answered(USUAL, LATER);
      assertThat(limiter.limit()).isEqualTo(expected);
    }
  }

  @Test
  void endOfTheRampIsReported() {
    restart();
    for (int i = 0; i < 5; i++) {
      assertThat(limiter.answered(USUAL, LATER)).isEmpty();
    }
    assertThat(limiter.answered(USUAL, LATER).get(0).code()).isEqualTo(EventCode.UPSTREAM_WARM);
  }

  @Test
  void answerSentBeforeTheRestartDoesNotCount() {
    restart();
    var unused = limiter.answered(USUAL, USUAL.toNanos() - 1);
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void slowAnswerDoesNotEndTheRamp() {
    learn();
    restart();
    var unused = limiter.answered(SLOW, LATER);
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void shedAnswerLowersTheLimitAtOnceAndHalvesItInTheRamp() {
    assertThat(limiter.shed(0).get(0).code()).isEqualTo(EventCode.UPSTREAM_COLD);
    assertThat(limiter.limit()).isEqualTo(1);
    for (int i = 0; i < 3; i++) {
      var unused = limiter.answered(USUAL, LATER);
    }
    assertThat(limiter.limit()).isEqualTo(3);
    assertThat(limiter.shed(LATER)).isEmpty();
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void eightSlowAnswersInARowAreAColdStart() {
    learn();
    for (int i = 0; i < 7; i++) {
      assertThat(limiter.answered(SLOW, LATER)).isEmpty();
    }
    assertThat(limiter.answered(SLOW, LATER)).hasSize(1);
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void upstreamThatStaysSlowReachesItsFullLimitAgain() {
    learn();
    for (int i = 0; i < 100; i++) {
      var unused = limiter.answered(SLOW, LATER * (i + 1));
    }
    assertThat(limiter.limit()).isEqualTo(4);
  }

  @Test
  void lostConnectionKeepsTheLimitAtOneUntilTheInstanceIsKnown() {
    var unused = limiter.instanceSeen("a", 0);
    limiter.connectionLost();
    assertThat(limiter.limit()).isEqualTo(1);
    unused = limiter.instanceSeen("a", 0);
    assertThat(limiter.limit()).isEqualTo(4);
  }

  @Test
  void lateNewsOfThePreviousInstanceIsNoRestart() {
    restart();
    var unused = limiter.answered(USUAL, LATER);
    assertThat(limiter.instanceSeen("a", LATER)).isEmpty();
    assertThat(limiter.limit()).isEqualTo(2);
  }

  private void learn() {
    for (int i = 0; i < 64; i++) {
      var unused = limiter.answered(USUAL, LATER);
    }
  }

  private void restart() {
    var unused = limiter.instanceSeen("a", 0);
    unused = limiter.instanceSeen("b", 0);
    assertThat(limiter.limit()).isEqualTo(1);
  }
}
