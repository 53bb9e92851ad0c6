package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against more work, repeats or cold requests than upstreams bear. */
final class LimitsTest {
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  @Test
  void coldPacersOfAllDaemonsStayUnderTheRate() {
    int sent = 0;
    for (int daemon = 0; daemon < 11; daemon++) {
      var pacer = new ColdPacer(9.4, 11, daemon / 11.0, 0);
      for (long now = 0; now < SECOND; now += SECOND / 100) {
        sent += pacer.tryTake(now) ? 1 : 0;
      }
    }
    assertThat(sent).isAtLeast(7);
    assertThat(sent).isAtMost(19);
  }

  @Test
  void coldPacerTellsWhenTheNextMayBeSent() {
    var pacer = new ColdPacer(10, 1, 1, 0);

    assertThat(pacer.tryTake(0)).isTrue();
    assertThat(pacer.tryTake(0)).isFalse();
    assertThat(pacer.tryTake(pacer.nanosToNext(0))).isTrue();
  }

  @Test
  void repeatsAreAShareOfRequests() {
    var budget = new RepeatBudget(0.1, Duration.ofSeconds(10), 0);
    for (int i = 0; i < 100; i++) {
      budget.requestSeen(0);
    }
    int allowed = 0;
    while (budget.tryTake(2, 0)) {
      allowed++;
    }
    assertThat(allowed).isEqualTo(12);
  }

  @Test
  void concurrencyNarrowsWithAQueueAndWidensWithout() {
    var limit = new ConcurrencyLimit(4);
    int first = limit.value();
    limit.reported(new ReportedLoad(4, 8, 4, 1));
    assertThat(limit.value()).isLessThan(first);
    for (int i = 0; i < 20; i++) {
      limit.reported(new ReportedLoad(1, 0, 4, 1));
    }
    assertThat(limit.value()).isEqualTo(4);
    limit.full();
    assertThat(limit.value()).isEqualTo(1);
  }

  @Test
  void otherZoneIsChosenOnlyIfMuchBetter() {
    var rule = new PlacementRule(new SplittableRandom(1));
    var near = new PlacementRule.Option<>("near", 200_000_000L, true);

    assertThat(rule.choose(List.of(near, new PlacementRule.Option<>("far", 100_000_000L, false))))
        .hasValue("near");
    assertThat(
            rule.choose(
                List.of(
                    new PlacementRule.Option<>("near", 900_000_000L, true),
                    new PlacementRule.Option<>("far", 100_000_000L, false))))
        .hasValue("far");
    assertThat(rule.choose(List.<PlacementRule.Option<String>>of())).isEmpty();
  }
}
