package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.model.TenantName;
import org.junit.jupiter.api.Test;

/** Guards against a burst that counts as usual, and a usual rate that counts as a burst. */
final class TenantUsageTest {
  private static final TenantName ONE = TenantName.of("one");
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final TenantUsage usage = new TenantUsage(0);
  private long nowNanos;

  /** Sends requests at even intervals; returns the share of them that is above the usual rate. */
  private double shareAbove(double perSecond, double seconds) {
    int requests = (int) (perSecond * seconds);
    int above = 0;
    for (int i = 0; i < requests; i++) {
      nowNanos += (long) (NANOS_PER_SECOND / perSecond);
      above += usage.isAboveUsualRate(ONE, nowNanos) ? 1 : 0;
    }
    return above / (double) requests;
  }

  @Test
  void usualRateIsNotAbove() {
    assertThat(shareAbove(10, 120)).isEqualTo(0);
  }

  @Test
  void mostOfBurstIsAboveUsualRateButNotAll() {
    double unused = shareAbove(10, 120);

    double share = shareAbove(80, 8);
    assertThat(share).isAtLeast(0.6);
    assertThat(share).isAtMost(0.75);
  }

  @Test
  void lastingIncreaseBecomesUsual() {
    double unused = shareAbove(10, 120);
    unused = shareAbove(30, 300);

    assertThat(shareAbove(30, 10)).isEqualTo(0);
  }

  @Test
  void fewRequestsAreNotAbove() {
    assertThat(shareAbove(0.2, 300)).isEqualTo(0);
  }
}
