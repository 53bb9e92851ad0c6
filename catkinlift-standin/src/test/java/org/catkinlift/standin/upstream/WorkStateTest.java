package org.catkinlift.standin.upstream;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import org.junit.jupiter.api.Test;

/** Guards the concurrency limits: a load test against an unlimited stand-in would prove nothing. */
final class WorkStateTest {

  @Test
  void runsAtMostItsSlotsAndShedsBeyondItsQueue() {
    var state = idle(WarmupState.warm(2), 1);

    state = state.admit(lookup(1), true, 0).next();
    state = state.admit(lookup(2), true, 0).next();
    state = state.admit(lookup(3), true, 0).next();
    var step = state.admit(lookup(4), true, 0);

    assertThat(step.next().running().keySet()).containsExactly(1L, 2L);
    assertThat(step.next().waiting()).containsExactly(lookup(3));
    assertThat(step.actions()).containsExactly(new WorkAction.Refuse(lookup(4), NotRun.SHED));
  }

  @Test
  void startsTheOldestWaitingRequestThatMayStillStart() {
    var late = Work.builder(2).task(new Task.Lookup("k")).startBeforeNanos(5).build();
    var state = idle(WarmupState.warm(1), 3);
    state = state.admit(lookup(1), true, 0).next();
    state = state.admit(late, true, 0).next();
    state = state.admit(lookup(3), true, 0).next();

    var step = state.finish(1, w -> true, 5);

    assertThat(step.actions())
        .containsExactly(
            new WorkAction.Refuse(late, NotRun.TOO_LATE), new WorkAction.Start(lookup(3), 1))
        .inOrder();
  }

  @Test
  void refusesAWaitingRequestThatIsNoLongerGranted() {
    var state = idle(WarmupState.warm(1), 3);
    state = state.admit(lookup(1), true, 0).next();
    state = state.admit(lookup(2), true, 0).next();

    var step = state.finish(1, w -> false, 0);

    assertThat(step.actions())
        .containsExactly(new WorkAction.Refuse(lookup(2), NotRun.NOT_GRANTED));
    assertThat(step.next().running()).isEmpty();
  }

  @Test
  void finishesItsWorkButTakesNoMoreWhileDraining() {
    var state = idle(WarmupState.warm(1), 3);
    state = state.admit(lookup(1), true, 0).next().withDraining(true);

    assertThat(state.admit(lookup(2), true, 0).actions())
        .containsExactly(new WorkAction.Refuse(lookup(2), NotRun.DRAINING));
    assertThat(state.running().keySet()).containsExactly(1L);
  }

  @Test
  void cancelsWaitingWorkAndRunningLookupsButNoRunningOrder() {
    var order = Work.builder(1).task(new Task.Order("k")).requestId("r").build();
    var lookup = Work.builder(2).task(new Task.Lookup("k")).requestId("r").build();
    var waiting = Work.builder(3).task(new Task.Lookup("k")).requestId("r").build();
    var state = idle(WarmupState.warm(2), 3);
    for (Work work : new Work[] {order, lookup, waiting}) {
      state = state.admit(work, true, 0).next();
    }

    var step = state.cancel("r", w -> true, 0);

    assertThat(step.actions())
        .containsExactly(
            new WorkAction.Refuse(waiting, NotRun.CANCELLED), new WorkAction.Stop(lookup));
    assertThat(step.next().running().values()).containsExactly(order);
  }

  @Test
  void slowsDownWhenOverloadedColdAndWarmsUpByCompletedWork() {
    var state = idle(WarmupState.cold(4), 16);
    state = state.admit(lookup(1), true, 0).next();
    state = state.admit(lookup(2), true, 0).next();
    var shed = state.admit(lookup(3), true, 0);
    assertThat(((WorkAction.Refuse) Iterables.getOnlyElement(shed.actions())).reason())
        .isEqualTo(NotRun.SHED);
    assertThat(shed.next().warmup().slowdown()).isGreaterThan(WarmupState.cold(4).slowdown());

    WarmupState warmup = shed.next().warmup();
    for (int i = 0; i < 100; i++) {
      warmup = warmup.afterCompletion();
    }
    assertThat(warmup).isEqualTo(WarmupState.warm(4));
  }

  private static WorkState idle(WarmupState warmup, int queueLimit) {
    return WorkState.idle(warmup, queueLimit);
  }

  private static Work lookup(long number) {
    return Work.builder(number).task(new Task.Lookup("k")).requestId("r" + number).build();
  }
}
