package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against a coordinator that lists the upstreams in each round of decisions, which costs
 * more than the decisions with hundreds of upstreams.
 */
final class CandidateListTest {
  private static final Duration ROUND = Duration.ofMillis(20);
  private static final int ROUNDS = 200;
  private static final ImmutableList<Candidate> CANDIDATES =
      ImmutableList.of(TestCandidates.candidate(1, 1));

  private int lists;

  @Test
  void candidatesAreListedOnlyForPlans() {
    var coordinator =
        new RangeCoordinator(Duration.ofSeconds(10), new KeyLoad(Duration.ofSeconds(2), 0));
    Supplier<ImmutableList<Candidate>> candidates =
        () -> {
          lists++;
          return CANDIDATES;
        };
    coordinator.start(0);
    var unused = coordinator.tick(candidates, 0);
    coordinator.mapRead(RangeMap.EMPTY, 0, 0);
    for (int i = 1; i <= ROUNDS; i++) {
      long nowNanos = i * ROUND.toNanos();
      for (RangeAction action : coordinator.tick(candidates, nowNanos)) {
        if (action instanceof RangeAction.WriteMap) {
          coordinator.mapWritten(i, nowNanos);
        }
      }
    }

    assertThat(lists).isAtLeast(1);
    assertThat(lists).isAtMost(ROUNDS / 5);
  }
}
