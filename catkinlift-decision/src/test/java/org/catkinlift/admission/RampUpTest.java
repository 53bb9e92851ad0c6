package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the rate at which requests are sent to an upstream that has just started. */
final class RampUpTest {
  private static final int SLOTS = 2;
  private static final int DAEMONS = 10;
  private static final long SERVICE = Duration.ofMillis(100).toNanos();
  private static final long STEP = Duration.ofMillis(1).toNanos();

  /** The time until the rate has doubled twice and the ramp is over. */
  private static final long RAMP = 8 * SERVICE;

  private static int sent(RampUp ramp, long fromNanos, long toNanos) {
    int sent = 0;
    for (long now = fromNanos; now < toNanos; now += STEP) {
      sent += ramp.tryAcquire(now) ? 1 : 0;
    }
    return sent;
  }

  /** Each daemon would otherwise use the rate of the whole site. */
  @Test
  void daemonsShareTheRateOfTheSite() {
    long usualInRamp = SLOTS * RAMP / SERVICE;
    long all = 0;
    for (int i = 0; i < DAEMONS; i++) {
      all += sent(new RampUp(SLOTS, SERVICE, DAEMONS, i / (double) DAEMONS, 0), 0, RAMP);
    }
    assertThat(all).isAtMost(2 * usualInRamp);
    assertThat(all).isAtLeast(usualInRamp / 2);
  }

  /** An upstream that answers well would stay limited. */
  @Test
  void rampEndsWhenTheUpstreamAnswersWell() {
    var ramp = new RampUp(SLOTS, SERVICE, DAEMONS, 0, 0);
    assertThat(ramp.isComplete(RAMP / 2)).isFalse();
    assertThat(ramp.isComplete(RAMP)).isTrue();
  }

  /** An upstream that is not ready would get ever more requests as time passes. */
  @Test
  void rampDoesNotEndWhileTheUpstreamAnswersBadly() {
    var ramp = new RampUp(SLOTS, SERVICE, DAEMONS, 0, 0);
    for (long now = 0; now < 10 * RAMP; now += 2 * SERVICE) {
      ramp.decrease(now);
    }
    assertThat(ramp.isComplete(10 * RAMP)).isFalse();
  }

  /** Requests that wait for a token must know how long, so that late ones are rejected at once. */
  @Test
  void statesTheTimeToTheNextToken() {
    var ramp = new RampUp(SLOTS, SERVICE, 1, 1, 0);
    assertThat(ramp.nanosUntilNext(0)).isEqualTo(0);
    assertThat(ramp.tryAcquire(0)).isTrue();
    assertThat(ramp.tryAcquire(0)).isFalse();
    assertThat(ramp.nanosUntilNext(0)).isEqualTo(ramp.intervalNanos());
    assertThat(ramp.intervalNanos()).isEqualTo(SERVICE);
  }

  /** An upstream that is still slow would get requests at a rising rate. */
  @Test
  void slowResponsesKeepTheRampFromEnding() {
    assertThat(isLimitedAtTheEndOfARamp(3 * SERVICE)).isTrue();
    assertThat(isLimitedAtTheEndOfARamp(SERVICE)).isFalse();
  }

  private static boolean isLimitedAtTheEndOfARamp(long responseNanos) {
    var queue = new UpstreamQueue<String>(SLOTS, 0);
    queue.startRampUp(SERVICE, 100 * DAEMONS, 0, 0);
    for (long now = SERVICE; now <= RAMP; now += SERVICE) {
      queue.responseMeasured(responseNanos, SERVICE, now);
    }
    return !queue.isWithinRate(RAMP);
  }
}
