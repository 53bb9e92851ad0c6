package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/**
 * Guards against overloading the holder of a hot key, starving a priority, and needless rejections.
 */
final class AdmissionSharePolicyTest {
  private static final UpstreamId HOLDER = UpstreamId.of("u-1");
  private static final double CAPACITY = 4;

  @Test
  void anUpstreamWithinItsCapacityGetsAllRequests() {
    assertThat(AdmissionSharePolicy.shares(ImmutableSortedMap.of(1, 1.5, 2, 2.0), CAPACITY))
        .isEmpty();
  }

  @Test
  void admittedLoadFitsTheCapacity() {
    ImmutableSortedMap<Integer, Double> demand = ImmutableSortedMap.of(1, 2.0, 2, 20.0);

    ImmutableSortedMap<Integer, Double> shares = AdmissionSharePolicy.shares(demand, CAPACITY);

    double admitted = 2.0 * shares.get(1) + 20.0 * shares.get(2);
    assertThat(admitted).isAtMost(CAPACITY);
    assertThat(admitted).isGreaterThan(CAPACITY * 0.7);
  }

  @Test
  void higherPrioritiesGoFirstAndNoneIsStarved() {
    ImmutableSortedMap<Integer, Double> shares =
        AdmissionSharePolicy.shares(ImmutableSortedMap.of(1, 8.0, 2, 8.0), CAPACITY);

    assertThat(shares.get(1)).isGreaterThan(3 * shares.get(2));
    assertThat(shares.get(2)).isGreaterThan(0.0);
  }

  @Test
  void aSmallHigherPriorityIsAdmittedInFull() {
    ImmutableSortedMap<Integer, Double> shares =
        AdmissionSharePolicy.shares(ImmutableSortedMap.of(1, 1.0, 2, 30.0), CAPACITY);

    assertThat(shares.get(1)).isEqualTo(1.0);
  }

  @Test
  void requestsAreAdmittedByTheirPriority() {
    var shares =
        new AdmissionShares(ImmutableMap.of(HOLDER, ImmutableSortedMap.of(1, 1.0, 2, 0.25)));

    assertThat(shares.admits(HOLDER, 1, 0.99)).isTrue();
    assertThat(shares.admits(HOLDER, 2, 0.3)).isFalse();
    assertThat(shares.admits(HOLDER, 0, 0.99)).isTrue();
    assertThat(shares.admits(HOLDER, 5, 0.3)).isFalse();
    assertThat(shares.admits(UpstreamId.of("u-2"), 2, 0.99)).isTrue();
  }

  @Test
  void demandConvergesWithinSeconds() {
    var meter = new DemandMeter(0);
    long now = 0;
    for (int i = 0; i < 500; i++) {
      now += Duration.ofMillis(10).toNanos();
      meter.add(HOLDER, 2, 0.1);
      meter.decay(now);
    }
    assertThat(meter.of(HOLDER).get(2)).isWithin(0.5).of(10);

    meter.decay(now + Duration.ofSeconds(10).toNanos());
    assertThat(meter.of(HOLDER)).isEmpty();
  }
}
