package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against queueing requests that cannot be answered, and against simultaneous retries. */
final class AdmissionPolicyTest {
  private static final long MILLI = Duration.ofMillis(1).toNanos();
  private static final long SERVICE = 120 * MILLI;

  private static AdmissionPolicy.Decision decide(long waitMillis, int ahead, double jitter) {
    var urgency = new Urgency(2, 400 * MILLI, 1_200 * MILLI);
    return AdmissionPolicy.decide(urgency, waitMillis * MILLI, ahead, 2, SERVICE, 0, jitter);
  }

  @Test
  void admitsARequestThatCanMeetItsTarget() {
    assertThat(decide(200, 5, 0)).isInstanceOf(AdmissionPolicy.Decision.Admit.class);
  }

  @Test
  void admitsAFewLateRequests() {
    assertThat(decide(400, 1, 0)).isInstanceOf(AdmissionPolicy.Decision.Admit.class);
  }

  @Test
  void rejectsALateRequestBehindALongQueue() {
    assertThat(decide(400, 2, 0)).isInstanceOf(AdmissionPolicy.Decision.Reject.class);
  }

  @Test
  void rejectsARequestThatWouldMissItsDeadline() {
    assertThat(decide(900, 0, 0)).isInstanceOf(AdmissionPolicy.Decision.Reject.class);
  }

  @Test
  void jittersTheRetryDelayOfRejectedCallers() {
    Duration early = AdmissionPolicy.retryAfter(200 * MILLI, 3_000 * MILLI, 0);
    Duration late = AdmissionPolicy.retryAfter(200 * MILLI, 3_000 * MILLI, 1);

    assertThat(late.minus(early)).isAtLeast(Duration.ofMillis(100));
  }

  @Test
  void retryDelayIsAtMostAThirdOfTheRemainingTime() {
    assertThat(AdmissionPolicy.retryAfter(5_000 * MILLI, 900 * MILLI, 1))
        .isAtMost(Duration.ofMillis(300));
  }
}
