package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/**
 * Guards against passing a release to a dispatcher for which it does not cover all earlier
 * requests.
 */
final class DispatchHandoversTest {
  private static final UpstreamId UPSTREAM = UpstreamId.of("u");
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");
  private static final HostId C = HostId.of("c");

  private final DispatchHandovers handovers = new DispatchHandovers();

  private static Epoch epoch(long counter) {
    return Epoch.of(1, counter);
  }

  private static DispatchRelease release(long counter, int running) {
    return new DispatchRelease(
        epoch(counter), running, Duration.ofMillis(500), Duration.ofSeconds(9));
  }

  @Test
  void nextDispatcherGetsTheReleaseBeforeAndAfterItsFirstLease() {
    handovers.onIssued(UPSTREAM, A, epoch(1));
    assertThat(handovers.onReleased(A, UPSTREAM, release(1, 3))).isTrue();
    assertThat(handovers.releaseBefore(UPSTREAM, B, epoch(2)))
        .isEqualTo(Optional.of(release(1, 3)));
    handovers.onIssued(UPSTREAM, B, epoch(2));
    assertThat(handovers.onReleased(A, UPSTREAM, release(1, 2))).isFalse();
    assertThat(handovers.releaseBefore(UPSTREAM, B, epoch(2)))
        .isEqualTo(Optional.of(release(1, 2)));
  }

  /** Guards against a repeated or delayed message that restores an outdated, higher count. */
  @Test
  void countsNeverRise() {
    handovers.onIssued(UPSTREAM, A, epoch(1));
    handovers.onReleased(A, UPSTREAM, release(1, 1));
    handovers.onReleased(A, UPSTREAM, release(1, 3));
    assertThat(handovers.releaseBefore(UPSTREAM, B, epoch(2)))
        .isEqualTo(Optional.of(release(1, 1)));
  }

  /**
   * Guards against using the release of A after a crash of B, because it does not contain the
   * requests of B.
   */
  @Test
  void releaseOfAnEarlierDispatcherDoesNotCountAfterAnotherOne() {
    handovers.onIssued(UPSTREAM, A, epoch(1));
    handovers.onReleased(A, UPSTREAM, release(1, 0));
    handovers.onIssued(UPSTREAM, B, epoch(2));
    assertThat(handovers.releaseBefore(UPSTREAM, C, epoch(3))).isEmpty();
    handovers.onIssued(UPSTREAM, C, epoch(3));
    handovers.onReleased(A, UPSTREAM, release(1, 0));
    assertThat(handovers.releaseBefore(UPSTREAM, C, epoch(3))).isEmpty();
    handovers.onReleased(B, UPSTREAM, release(2, 1));
    assertThat(handovers.releaseBefore(UPSTREAM, C, epoch(3)))
        .isEqualTo(Optional.of(release(2, 1)));
  }

  /** Guards against counting requests twice: as own requests and as requests left behind. */
  @Test
  void returningHolderDoesNotGetItsOwnRelease() {
    handovers.onIssued(UPSTREAM, A, epoch(1));
    handovers.onReleased(A, UPSTREAM, release(1, 3));
    assertThat(handovers.releaseBefore(UPSTREAM, A, epoch(3))).isEmpty();
  }

  /** Guards against accepting a release from a daemon that did not hold the lease. */
  @Test
  void unknownLeasesAreIgnored() {
    handovers.onIssued(UPSTREAM, A, epoch(1));
    assertThat(handovers.onReleased(B, UPSTREAM, release(1, 0))).isFalse();
    assertThat(handovers.onReleased(A, UPSTREAM, release(9, 0))).isFalse();
    assertThat(handovers.releaseBefore(UPSTREAM, B, epoch(2))).isEmpty();
  }
}
