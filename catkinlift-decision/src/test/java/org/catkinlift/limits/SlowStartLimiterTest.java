package org.catkinlift.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class SlowStartLimiterTest {
  private static final Duration TYPICAL_LATENCY = Duration.ofMillis(10);
  private static final Duration SLOW_LATENCY = Duration.ofMillis(31);
  private static final long LATER_NANOS = Duration.ofSeconds(1).toNanos();

  private final SlowStartLimiter limiter = new SlowStartLimiter(UpstreamId.of("u"), 4);

  @Test
  void limitOfRestartedUpstreamGrowsWithCompletedRequests() {
    restart();
    int[] limits = {2, 2, 3, 3, 3, 4};
    for (int expected : limits) {
      var unused = limiter.answered(TYPICAL_LATENCY, LATER_NANOS);
      assertThat(limiter.limit()).isEqualTo(expected);
    }
  }

  @Test
  void endOfTheRampIsReported() {
    restart();
    for (int i = 0; i < 5; i++) {
      assertThat(limiter.answered(TYPICAL_LATENCY, LATER_NANOS)).isEmpty();
    }
    assertThat(limiter.answered(TYPICAL_LATENCY, LATER_NANOS).get(0).code())
        .isEqualTo(EventCode.UPSTREAM_WARM);
  }

  @Test
  void responseToRequestSentBeforeTheRestartDoesNotCount() {
    restart();
    var unused = limiter.answered(TYPICAL_LATENCY, TYPICAL_LATENCY.toNanos() - 1);
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void slowResponseDoesNotRaiseTheLimit() {
    learnMedianLatency();
    restart();
    var unused = limiter.answered(SLOW_LATENCY, LATER_NANOS);
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void shedRequestResetsTheLimitWhenWarmAndHalvesItWhenCold() {
    assertThat(limiter.shed(0).get(0).code()).isEqualTo(EventCode.UPSTREAM_COLD);
    assertThat(limiter.limit()).isEqualTo(1);
    for (int i = 0; i < 3; i++) {
      var unused = limiter.answered(TYPICAL_LATENCY, LATER_NANOS);
    }
    assertThat(limiter.limit()).isEqualTo(3);
    assertThat(limiter.shed(LATER_NANOS)).isEmpty();
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void eightConsecutiveSlowResponsesAreAColdStart() {
    learnMedianLatency();
    for (int i = 0; i < 7; i++) {
      assertThat(limiter.answered(SLOW_LATENCY, LATER_NANOS)).isEmpty();
    }
    assertThat(limiter.answered(SLOW_LATENCY, LATER_NANOS)).hasSize(1);
    assertThat(limiter.limit()).isEqualTo(1);
  }

  @Test
  void upstreamThatStaysSlowReachesItsFullLimitAgain() {
    learnMedianLatency();
    for (int i = 0; i < 100; i++) {
      var unused = limiter.answered(SLOW_LATENCY, LATER_NANOS * (i + 1));
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
  void lateReportOfThePreviousInstanceIsNotARestart() {
    restart();
    var unused = limiter.answered(TYPICAL_LATENCY, LATER_NANOS);
    assertThat(limiter.instanceSeen("a", LATER_NANOS)).isEmpty();
    assertThat(limiter.limit()).isEqualTo(2);
  }

  private void learnMedianLatency() {
    for (int i = 0; i < 64; i++) {
      var unused = limiter.answered(TYPICAL_LATENCY, LATER_NANOS);
    }
  }

  private void restart() {
    var unused = limiter.instanceSeen("a", 0);
    unused = limiter.instanceSeen("b", 0);
    assertThat(limiter.limit()).isEqualTo(1);
  }
}
