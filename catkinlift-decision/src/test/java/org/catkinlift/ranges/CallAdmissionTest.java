package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Guards against more calls at a time than upstreams accept, or than the control thread ends. */
final class CallAdmissionTest {
  private static final int RECENT_LIMIT = 32;
  private static final Duration RECENT = Duration.ofMillis(50);
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_200);

  private final CallAdmission admission = new CallAdmission();
  private long lastCallId;
  private long nowNanos;

  private static GrantDestination upstream(int number) {
    return new GrantDestination(
        UpstreamId.of("u-" + number), NetworkAddress.of("10.0.0." + number, 80));
  }

  private void advance(Duration duration) {
    nowNanos += duration.toNanos();
    admission.roundStarted(nowNanos);
  }

  /** Starts grants to an upstream until one has to wait, and returns how many started. */
  private int startGrants(int upstream) {
    int started = 0;
    while (admission.isAdmitted(upstream(upstream), CallKind.GRANT, nowNanos)) {
      startGrant(upstream);
      started++;
    }
    return started;
  }

  private long startGrant(int upstream) {
    lastCallId++;
    admission.started(lastCallId, upstream(upstream), CallKind.GRANT, nowNanos);
    return lastCallId;
  }

  private void failGrant(int upstream) {
    admission.ended(startGrant(upstream), CallKind.GRANT, false, nowNanos);
  }

  /** Grants of all ranges at once exceeded the connections that an upstream accepts. */
  @Test
  void openCallsToOneUpstreamAreBounded() {
    assertThat(startGrants(1)).isEqualTo(2);
    assertThat(admission.isBacklogged()).isTrue();
    assertThat(admission.isAdmitted(upstream(1), CallKind.RELEASE, nowNanos)).isTrue();

    admission.ended(1, CallKind.GRANT, true, nowNanos);

    assertThat(startGrants(1)).isEqualTo(1);
  }

  /** Each call to an upstream that does not answer would otherwise add a timeout of its own. */
  @Test
  void noCallFollowsOneWithoutAnswerUntilTheRetryDelayIsOver() {
    failGrant(1);

    assertThat(startGrants(1)).isEqualTo(0);
    advance(RETRY_DELAY);
    assertThat(startGrants(1)).isEqualTo(1);
  }

  /** Calls to many unreachable upstreams would otherwise take the place of others. */
  @Test
  void upstreamThatDidNotAnswerGetsOneCallAtATimeUntilItAnswers() {
    failGrant(1);
    advance(RETRY_DELAY);
    assertThat(startGrants(1)).isEqualTo(1);

    admission.ended(lastCallId, CallKind.GRANT, true, nowNanos);

    assertThat(startGrants(1)).isEqualTo(2);
  }

  @Test
  void retryDelayDoublesUpToItsLimitAndEndsWithAnAnswer() {
    for (int i = 0; i < 5; i++) {
      failGrant(1);
      advance(MAX_RETRY_DELAY);
    }
    failGrant(1);
    advance(MAX_RETRY_DELAY.minusNanos(1));
    assertThat(startGrants(1)).isEqualTo(0);

    advance(Duration.ofNanos(1));
    admission.ended(startGrant(1), CallKind.GRANT, true, nowNanos);
    failGrant(1);
    advance(RETRY_DELAY);

    assertThat(startGrants(1)).isEqualTo(1);
  }

  @Test
  void recentCallsAreBoundedOverAllUpstreams() {
    for (int i = 1; i <= RECENT_LIMIT; i++) {
      startGrants(i);
    }

    assertThat(lastCallId).isEqualTo(RECENT_LIMIT);
  }

  /** Releases wait for the end of the work on their keys. */
  @Test
  void openReleasesDoNotKeepGrantsFromStarting() {
    for (int i = 1; i <= RECENT_LIMIT; i++) {
      if (admission.isAdmitted(upstream(i), CallKind.RELEASE, nowNanos)) {
        admission.started(++lastCallId, upstream(i), CallKind.RELEASE, nowNanos);
      }
    }

    assertThat(admission.isAdmitted(upstream(1), CallKind.RELEASE, nowNanos)).isFalse();
    assertThat(startGrants(1)).isEqualTo(2);
  }

  /** Many unreachable upstreams would otherwise keep all others from their grants. */
  @Test
  void callsThatWaitLongForAnAnswerDoNotKeepOthersFromStarting() {
    for (int i = 1; i <= RECENT_LIMIT; i++) {
      startGrants(i);
    }
    advance(RECENT);

    assertThat(startGrants(RECENT_LIMIT + 1)).isEqualTo(2);
  }

  /** Two open calls that end together say no more about an upstream than one. */
  @Test
  void callsThatWereOpenTogetherCountAsOneFailure() {
    long first = startGrant(1);
    long second = startGrant(1);
    admission.ended(first, CallKind.GRANT, false, nowNanos);
    admission.ended(second, CallKind.GRANT, false, nowNanos);

    assertThat(admission.destinationsWithFailedGrants(1).toList()).containsExactly(upstream(1));
    assertThat(admission.destinationsWithFailedGrants(2).toList()).isEmpty();
  }

  /** An upstream that lost its keys gets no call that could show that it answers again. */
  @Test
  void failuresOfAnUpstreamWithoutFurtherCallsAreForgotten() {
    failGrant(1);
    advance(Duration.ofSeconds(5));

    assertThat(admission.destinationsWithFailedGrants(1).toList()).isEmpty();
  }
}
