package org.catkinlift.events;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class DecisionLogTest {
  private final DecisionLog log = new DecisionLog();

  private static DecisionEvent slotAssigned(int slot) {
    return DecisionEvent.of(
        EventCode.SLOT_ASSIGNED, DecisionEvent.UNIT_FIELD, DecisionEvent.slotUnit(slot));
  }

  private ImmutableList<DecisionLog.Decision> allDecisions(long nowNanos) {
    return log.newestFirst(e -> true, Integer.MAX_VALUE, nowNanos);
  }

  /** Guards against unbounded growth while slots keep moving. */
  @Test
  void keepsNewestDecisionsUpToMaximum() {
    for (int slot = 0; slot <= DecisionLog.MAX_DECISIONS; slot++) {
      log.record(slotAssigned(slot), slot);
    }
    assertThat(allDecisions(DecisionLog.MAX_DECISIONS)).hasSize(DecisionLog.MAX_DECISIONS);
    assertThat(allDecisions(0).get(0).event()).isEqualTo(slotAssigned(DecisionLog.MAX_DECISIONS));
    assertThat(allDecisions(0).get(DecisionLog.MAX_DECISIONS - 1).event())
        .isEqualTo(slotAssigned(1));
  }

  /** Guards against explaining a key by outdated decisions. */
  @Test
  void removesExpiredDecisions() {
    long maxAge = DecisionLog.MAX_AGE.toNanos();
    log.record(slotAssigned(1), 0);
    log.record(slotAssigned(2), 1);
    assertThat(allDecisions(maxAge)).hasSize(2);
    assertThat(allDecisions(maxAge + 1))
        .containsExactly(new DecisionLog.Decision(slotAssigned(2), 1));
  }

  /** Guards against request or membership events that evict decisions. */
  @Test
  void ignoresEventsOfOtherGroups() {
    log.record(DecisionEvent.of(EventCode.MEMBER_JOINED, "host", "suva-01"), 0);
    log.record(DecisionEvent.of(EventCode.REQUEST_ROUTED, "request", "r-1"), 0);
    assertThat(allDecisions(0)).isEmpty();
  }

  /** Guards against a new event code of the 3000 range that the log does not keep. */
  @Test
  void keepsEveryOwnershipEvent() {
    ImmutableList<EventCode> ownershipCodes =
        Stream.of(EventCode.values())
            .filter(c -> c.number() / 1_000 == 3)
            .collect(toImmutableList());
    ownershipCodes.forEach(c -> log.record(DecisionEvent.of(c, "service", "desk"), 0));
    assertThat(allDecisions(0)).hasSize(ownershipCodes.size());
  }

  /** Guards against an unbounded result or one that omits the newest decisions. */
  @Test
  void filtersAndLimitsFromTheNewest() {
    for (int slot = 0; slot < 10; slot++) {
      log.record(slotAssigned(slot), slot);
    }
    assertThat(log.newestFirst(e -> !e.equals(slotAssigned(9)), 2, 10))
        .containsExactly(
            new DecisionLog.Decision(slotAssigned(8), 8),
            new DecisionLog.Decision(slotAssigned(7), 7))
        .inOrder();
  }
}
