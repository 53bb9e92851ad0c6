package org.catkinlift.retries;

import static com.google.common.truth.Truth.assertThat;

import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Tests which upstreams count as possible executors of a request. */
final class AttemptHistoryTest {
  private static final UpstreamId FIRST = UpstreamId.of("u-1");
  private static final UpstreamId SECOND = UpstreamId.of("u-2");

  @Test
  void requestThatWasNotSentWasNotExecuted() {
    assertThat(AttemptHistory.NONE.mayHaveBeenExecuted()).isFalse();
  }

  @Test
  void requestInFlightMayHaveBeenExecuted() {
    assertThat(AttemptHistory.NONE.sent(FIRST).possibleExecutors()).containsExactly(FIRST);
  }

  @Test
  void refusedAttemptsWereNotExecuted() {
    AttemptHistory history =
        AttemptHistory.NONE.sent(FIRST).notExecuted().sent(SECOND).notExecuted();

    assertThat(history.mayHaveBeenExecuted()).isFalse();
  }

  /** A refusal would otherwise hide that an earlier attempt there was executed. */
  @Test
  void refusalDoesNotResolveEarlierAttemptAtSameUpstream() {
    AttemptHistory history = AttemptHistory.NONE.sent(FIRST).outcomeUnknown();

    assertThat(history.sent(FIRST).notExecuted().possibleExecutors()).containsExactly(FIRST);
    assertThat(history.sent(SECOND).notExecuted().possibleExecutors()).containsExactly(FIRST);
  }

  /** The number of possible executors is compared with the limit of the route. */
  @Test
  void repeatedAttemptsAtOneUpstreamCountOnce() {
    AttemptHistory history =
        AttemptHistory.NONE.sent(FIRST).outcomeUnknown().sent(FIRST).outcomeUnknown();

    assertThat(history.possibleExecutors()).containsExactly(FIRST);
    assertThat(history.sent(SECOND).possibleExecutors()).containsExactly(FIRST, SECOND);
  }
}
