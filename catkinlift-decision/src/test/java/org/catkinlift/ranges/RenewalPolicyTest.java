package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against grants that expire before a second renewal, and against too many renewals. */
final class RenewalPolicyTest {
  private static final Duration HOLD_MAX = Duration.ofSeconds(10);
  private static final Duration CALL = Duration.ofMillis(1_100);

  private final RenewalPolicy renewals = new RenewalPolicy(HOLD_MAX);

  @Test
  void fewRangesAreRenewedOftenSoThatALostUpstreamIsReplacedSoon() {
    assertThat(renewals.interval(100)).isEqualTo(Duration.ofMillis(1_300));
    assertThat(renewals.duration(100)).isEqualTo(Duration.ofSeconds(5));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 500, 1_000, 2_000, 5_000, 50_000})
  void grantOutlastsARenewalWithoutAnswerAndAnotherOne(int ranges) {
    Duration duration = renewals.duration(ranges);

    assertThat(duration).isAtMost(HOLD_MAX);
    assertThat(duration.minus(renewals.interval(ranges))).isAtLeast(CALL.multipliedBy(2));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 500, 1_000, 2_000, 2_900})
  void renewalsASecondAreBoundedWhileTheLongestGrantAllowsIt(int ranges) {
    double perSecond = ranges * 1e9 / renewals.interval(ranges).toNanos();

    assertThat(perSecond).isAtMost(401.0);
  }
}
