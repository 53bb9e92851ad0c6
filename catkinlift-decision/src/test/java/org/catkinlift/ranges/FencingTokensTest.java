package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against tokens that upstreams refuse, and against eras whose tokens overlap. */
final class FencingTokensTest {
  private static final long LIMIT_OF_JSON_INTEGERS = 1L << 53;
  private static final long TOKENS_IN_ONE_YEAR = 100L * 3_600 * 24 * 365;

  @Test
  void storeWithoutErasKeepsItsTokens() {
    assertThat(FencingTokens.firstOf(0)).isEqualTo(RangeMap.EMPTY.nextFence());
    assertThat(RangeMap.emptyOf(0)).isEqualTo(RangeMap.EMPTY);
  }

  @Test
  void eachTokenOfALaterEraIsHigher() {
    assertThat(FencingTokens.firstOf(0) + TOKENS_IN_ONE_YEAR).isLessThan(FencingTokens.firstOf(1));
    assertThat(FencingTokens.firstOf(7) + TOKENS_IN_ONE_YEAR).isLessThan(FencingTokens.firstOf(8));
  }

  @Test
  void tokensOfTheHighestEraAreExactInJson() {
    assertThat(FencingTokens.firstOf(FencingTokens.MAX_ERA) + TOKENS_IN_ONE_YEAR)
        .isLessThan(LIMIT_OF_JSON_INTEGERS);
    assertThrows(
        IllegalArgumentException.class, () -> FencingTokens.firstOf(FencingTokens.MAX_ERA + 1));
  }
}
