package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against bodies that together exceed the memory of an upstream. */
final class BodyBytesLimitTest {
  private static final long MIB = 1 << 20;

  private final BodyBytesLimit limit = new BodyBytesLimit();

  @Test
  void admitsBodiesUpToTheLimitAndAgainAfterTheirEnd() {
    limit.sent(40 * MIB);

    assertThat(limit.admits(24 * MIB)).isTrue();
    assertThat(limit.admits(25 * MIB)).isFalse();
    assertThat(limit.admits(0)).isTrue();

    limit.ended(40 * MIB);
    assertThat(limit.admits(64 * MIB)).isTrue();
  }

  @Test
  void admitsOneLargerBodyAlone() {
    assertThat(limit.admits(100 * MIB)).isTrue();

    limit.sent(100 * MIB);
    assertThat(limit.admits(MIB)).isFalse();
  }

  /** One long body that stalls would shut out all other requests. */
  @Test
  void admitsShortBodyBesideLongOnes() {
    limit.sent(64 * MIB);

    assertThat(limit.admits(64 << 10)).isTrue();
    assertThat(limit.admits((64 << 10) + 1)).isFalse();
  }
}
