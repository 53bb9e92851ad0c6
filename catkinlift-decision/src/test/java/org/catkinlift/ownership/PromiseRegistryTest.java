package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.control.PeerMessage.PromiseRequest;
import org.junit.jupiter.api.Test;

final class PromiseRegistryTest {
  private static final String ROW = "cell/a";
  private static final long SECOND = 1_000_000_000L;
  private static final Duration PROMISE = Duration.ofSeconds(1);
  private static final Duration LONG = Duration.ofMinutes(10);

  private final PromiseRegistry promises = new PromiseRegistry(OwnershipTimings.defaults(), 0);

  private Duration request(long term, long sequence, Duration wanted, boolean reachable, long now) {
    return promises
        .promise(new PromiseRequest(ROW, term, sequence, wanted), reachable, now)
        .duration();
  }

  /** Guards against a promise that contradicts one given by an earlier run of the voter. */
  @Test
  void voterPromisesNothingRightAfterStart() {
    promises.observeTerm(ROW, 1);
    assertThat(request(1, 1, PROMISE, true, SECOND)).isEqualTo(Duration.ZERO);
    assertThat(promises.allowsAcquisition(ROW, SECOND)).isFalse();
    assertThat(request(1, 2, PROMISE, true, 2 * SECOND)).isEqualTo(PROMISE);
  }

  /** Guards against authority for a term that has already been superseded. */
  @Test
  void earlierTermOrUnreadRowGetsNoPromise() {
    assertThat(request(1, 1, PROMISE, true, 2 * SECOND)).isEqualTo(Duration.ZERO);
    promises.observeTerm(ROW, 2);
    assertThat(request(1, 2, PROMISE, true, 2 * SECOND)).isEqualTo(Duration.ZERO);
    assertThat(request(2, 1, PROMISE, true, 2 * SECOND)).isEqualTo(PROMISE);
  }

  /**
   * Guards against a voter that never promises, so that the holder must renew its row indefinitely.
   */
  @Test
  void voterThatReadBeforeRowExistedPromises() {
    promises.observeTerm(ROW, 0);
    assertThat(request(1, 1, PROMISE, true, 2 * SECOND)).isEqualTo(PROMISE);
  }

  /** Guards against a voter that is able to acquire the role but is bound by a long promise. */
  @Test
  void voterThatReachesPlatformGivesNoLongPromise() {
    promises.observeTerm(ROW, 1);
    assertThat(request(1, 1, LONG, true, 2 * SECOND)).isEqualTo(PROMISE);
    assertThat(request(1, 2, LONG, false, 2 * SECOND)).isEqualTo(LONG);
  }

  /**
   * Guards against an acquisition within the clock margin, and against a delayed request that
   * shortens a later promise.
   */
  @Test
  void promiseLastsLongerForVoterAndOnlyLaterRequestShortensIt() {
    promises.observeTerm(ROW, 1);
    request(1, 5, LONG, false, 2 * SECOND);
    assertThat(request(1, 4, PROMISE, true, 2 * SECOND)).isEqualTo(Duration.ZERO);
    assertThat(promises.allowsAcquisition(ROW, 9 * SECOND)).isFalse();
    request(1, 6, PROMISE, true, 10 * SECOND);
    assertThat(promises.allowsAcquisition(ROW, 11 * SECOND)).isFalse();
    assertThat(promises.allowsAcquisition(ROW, 11 * SECOND + SECOND / 50)).isTrue();
  }
}
