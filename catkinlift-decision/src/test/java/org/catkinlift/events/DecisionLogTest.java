package org.catkinlift.events;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against decisions that operators cannot ask about. */
final class DecisionLogTest {
  private final DecisionLog log = new DecisionLog();

  private static DecisionEvent assigned(int slot) {
    return DecisionEvent.of(
        EventCode.SLOT_ASSIGNED, DecisionEvent.UNIT_FIELD, DecisionEvent.slotUnit(slot));
  }

  private ImmutableList<DecisionLog.Decision> all(long nowNanos) {
    return log.newestFirst(e -> true, Integer.MAX_VALUE, nowNanos);
  }

  /** Guards against a log that grows while slots move all day. */
  @Test
  void keepsTheNewestUpToTheMaximum() {
    for (int slot = 0; slot <= DecisionLog.MAX_DECISIONS; slot++) {
      log.record(assigned(slot), slot);
    }
    assertThat(all(DecisionLog.MAX_DECISIONS)).hasSize(DecisionLog.MAX_DECISIONS);
    assertThat(all(0).get(0).event()).isEqualTo(assigned(DecisionLog.MAX_DECISIONS));
    assertThat(all(0).get(DecisionLog.MAX_DECISIONS - 1).event()).isEqualTo(assigned(1));
  }

  /** Guards against explaining a key by what was decided long ago. */
  @Test
  void dropsDecisionsThatAreTooOld() {
    long maxAge = DecisionLog.MAX_AGE.toNanos();
    log.record(assigned(1), 0);
    log.record(assigned(2), 1);
    assertThat(all(maxAge)).hasSize(2);
    assertThat(all(maxAge + 1)).containsExactly(new DecisionLog.Decision(assigned(2), 1));
  }

  /** Guards against request or membership events that push decisions out. */
  @Test
  void ignoresOtherEvents() {
    log.record(DecisionEvent.of(EventCode.MEMBER_JOINED, "host", "suva-01"), 0);
    log.record(DecisionEvent.of(EventCode.REQUEST_ROUTED, "request", "r-1"), 0);
    assertThat(all(0)).isEmpty();
  }

  /** Guards against a new kind of placement decision that explanations of a key leave out. */
  @Test
  void keepsEveryPlacementEvent() {
    ImmutableList<EventCode> placement =
        Stream.of(EventCode.values())
            .filter(c -> c.number() / 1_000 == 3)
            .collect(toImmutableList());
    placement.forEach(c -> log.record(DecisionEvent.of(c, "service", "desk"), 0));
    assertThat(all(0)).hasSize(placement.size());
  }

  /** Guards against an unbounded answer or one that leaves out the newest decisions. */
  @Test
  void filtersAndLimitsFromTheNewest() {
    for (int slot = 0; slot < 10; slot++) {
      log.record(assigned(slot), slot);
    }
    assertThat(log.newestFirst(e -> !e.equals(assigned(9)), 2, 10))
        .containsExactly(
            new DecisionLog.Decision(assigned(8), 8), new DecisionLog.Decision(assigned(7), 7))
        .inOrder();
  }
}
