package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against late requests that delay those that can still meet their target. */
final class DeadlineQueueTest {
  private static final long SERVICE = 100;

  private final DeadlineQueue<String> queue = new DeadlineQueue<>();

  private static Urgency urgency(int priority, long target) {
    return new Urgency(priority, target, target + 10_000);
  }

  @Test
  void requestInTimePrecedesLateRequest() {
    queue.add("late", urgency(0, 50));
    queue.add("in time", urgency(2, 500));

    assertThat(queue.takeNext(0, SERVICE)).hasValue("in time");
  }

  @Test
  void higherPriorityPrecedesAmongRequestsInTime() {
    queue.add("lookup", urgency(2, 400));
    queue.add("order", urgency(1, 500));

    assertThat(queue.takeNext(0, SERVICE)).hasValue("order");
  }

  @Test
  void earlierTargetPrecedesAmongEqualPriorities() {
    queue.add("second", urgency(1, 500));
    queue.add("first", urgency(1, 400));

    assertThat(queue.takeNext(0, SERVICE)).hasValue("first");
  }

  /** The queue of one tenant that sends more than usual must not delay the others. */
  @Test
  void requestAboveUsualRateFollowsOthersOfItsPriority() {
    queue.add("surplus", new Urgency(new RequestRank(1, true, 0), 400, 10_000));
    queue.add("usual", new Urgency(new RequestRank(1, false, 2), 500, 10_000));
    queue.add("lower", new Urgency(new RequestRank(2, false, 0), 300, 10_000));

    assertThat(queue.takeNext(0, SERVICE)).hasValue("usual");
    assertThat(queue.takeNext(0, SERVICE)).hasValue("surplus");
  }

  @Test
  void routePriorityOrdersRequestsOfEqualTenants() {
    queue.add("lookup", new Urgency(new RequestRank(1, false, 2), 400, 10_000));
    queue.add("order", new Urgency(new RequestRank(1, false, 1), 500, 10_000));

    assertThat(queue.takeNext(0, SERVICE)).hasValue("order");
  }

  @Test
  void countsOnlyRequestsAhead() {
    queue.add("order", urgency(1, 500));
    queue.add("late", urgency(0, 50));

    assertThat(queue.countAhead(urgency(2, 400), 0, SERVICE)).isEqualTo(1);
  }

  @Test
  void removedRequestIsNotTaken() {
    queue.add("a", urgency(1, 500));

    assertThat(queue.remove("a")).isTrue();
    assertThat(queue.remove("a")).isFalse();
    assertThat(queue.takeNext(0, SERVICE)).isEmpty();
  }
}
