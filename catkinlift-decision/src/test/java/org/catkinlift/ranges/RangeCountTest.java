package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against so many ranges that no host can renew their grants before they expire. */
final class RangeCountTest {
  private static final int ROUNDS = 60;
  private static final double OVERLOAD = 1.5;

  /**
   * At 400 calls a second, in the longest grant less the time of a call that fails and its retry.
   */
  private static final int MAX_RENEWABLE_RANGES = 400 * (10 - 2);

  private final KeyLoad load = new KeyLoad(Duration.ofSeconds(2), 0);
  private long nowNanos;

  @ParameterizedTest
  @ValueSource(ints = {98, 195, 390})
  void overloadMakesNoMoreRangesThanCanBeRenewed(int upstreams) {
    ImmutableList<Candidate> candidates =
        IntStream.range(0, upstreams)
            .mapToObj(i -> TestCandidates.candidate(i, 1))
            .collect(ImmutableList.toImmutableList());
    var random = new SplittableRandom(upstreams);
    RangeMap map = RangeMap.EMPTY;
    for (int round = 0; round < ROUNDS; round++) {
      overload(upstreams, random);
      RangeMap current = map;
      map =
          RangePlanner.plan(map, candidates, load, a -> true, (keys, holder) -> true)
              .map(RangePlan::map)
              .orElse(current);
    }

    assertThat(map.assignments().size()).isAtMost(MAX_RENEWABLE_RANGES);
  }

  /** Makes other keys busy, each with about half of an upstream's slots. */
  private void overload(int upstreams, SplittableRandom random) {
    nowNanos += Duration.ofMillis(500).toNanos();
    load.decay(nowNanos);
    int busyKeys = 2 * upstreams;
    double each = OVERLOAD * upstreams * TestCandidates.SLOTS / busyKeys;
    random.ints(busyKeys, 0, KeyRange.KEY_COUNT).forEach(key -> load.add(key, each / 2));
  }
}
