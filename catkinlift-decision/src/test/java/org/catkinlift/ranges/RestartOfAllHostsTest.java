package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a coordinator that never grants all keys after a restart of all hosts, because it
 * is busy with calls whose timeouts are over.
 */
final class RestartOfAllHostsTest {
  /** The time in which service is back after a restart of all hosts (`recovery`). */
  private static final Duration RECOVERY = Duration.ofSeconds(15);

  private static final Duration OBSERVED = Duration.ofSeconds(30);

  /** All ranges may be renewed at about the same time, so a short time says little. */
  private static final Duration MANY_RENEWALS = Duration.ofMinutes(5);

  private static final Duration STEP = Duration.ofMillis(100);
  private static final int RANGES_EACH = 6;
  private static final int SLOW = 1;
  private static final int FAST = 10;

  @ParameterizedTest
  @CsvSource({"31, 0", "98, 0", "195, 0", "195, 39", "195, 98", "390, 0"})
  void allKeysAreGrantedWithinRecoveryAndStayGranted(int upstreams, int silentUpstreams) {
    var fleet = new RestartedFleet(upstreams, RANGES_EACH, silentUpstreams, SLOW);
    fleet.run(RECOVERY);

    double lowest = 1;
    for (Duration t = Duration.ZERO; t.compareTo(OBSERVED) < 0; t = t.plus(STEP)) {
      fleet.run(STEP);
      lowest = Math.min(lowest, fleet.heldShare());
    }

    assertWithMessage("share of held keys").that(lowest).isEqualTo(1.0);
    assertWithMessage("roles taken").that(fleet.rolesTaken()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"98", "195", "390"})
  void renewalsASecondDoNotGrowWithTheNumberOfRanges(int upstreams) {
    var fleet = new RestartedFleet(upstreams, RANGES_EACH, 0, FAST);
    fleet.run(RECOVERY);
    int before = fleet.callsStarted();
    fleet.run(MANY_RENEWALS);

    // The slow host finishes as many. The fast one could send ten times as many.
    assertThat((fleet.callsStarted() - before) / MANY_RENEWALS.toSeconds()).isAtMost(400);
  }

  /** Each version of the map is sent to each host, and hosts ask for it every 250 ms. */
  @ParameterizedTest
  @CsvSource({"195", "390"})
  void largeMapIsNotWrittenMoreOftenThanHostsAskForIt(int upstreams) {
    var fleet = new RestartedFleet(upstreams, RANGES_EACH, 0, SLOW);
    fleet.run(RECOVERY);
    fleet.startRestartsOfUpstreams();
    int before = fleet.mapsWritten();
    fleet.run(OBSERVED);

    assertThat((fleet.mapsWritten() - before) / OBSERVED.toSeconds()).isAtMost(4);
  }
}
