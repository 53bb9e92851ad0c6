package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a line in which late requests delay those that could still be in time. */
final class WaitingLineTest {
  private static final long SERVICE = 100;

  private final WaitingLine<String> line = new WaitingLine<>();

  private static Urgency urgency(int priority, long target) {
    return new Urgency(priority, target, target + 10_000);
  }

  @Test
  void inTimeGoesBeforeLate() {
    line.add("late", urgency(0, 50));
    line.add("in time", urgency(2, 500));

    assertThat(line.takeNext(0, SERVICE)).hasValue("in time");
  }

  @Test
  void higherRankGoesFirstAmongThoseInTime() {
    line.add("lookup", urgency(2, 400));
    line.add("order", urgency(1, 500));

    assertThat(line.takeNext(0, SERVICE)).hasValue("order");
  }

  @Test
  void earlierTargetGoesFirstAmongEquals() {
    line.add("second", urgency(1, 500));
    line.add("first", urgency(1, 400));

    assertThat(line.takeNext(0, SERVICE)).hasValue("first");
  }

  @Test
  void countsOnlyThoseThatGoBefore() {
    line.add("order", urgency(1, 500));
    line.add("late", urgency(0, 50));

    assertThat(line.countBefore(urgency(2, 400), 0, SERVICE)).isEqualTo(1);
  }

  @Test
  void withdrawnRequestIsNotTaken() {
    line.add("a", urgency(1, 500));

    assertThat(line.remove("a")).isTrue();
    assertThat(line.remove("a")).isFalse();
    assertThat(line.takeNext(0, SERVICE)).isEmpty();
  }
}
