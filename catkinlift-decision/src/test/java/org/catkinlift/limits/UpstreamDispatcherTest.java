package org.catkinlift.limits;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.limits.DispatcherFixture.refused;
import static org.catkinlift.limits.DispatcherFixture.sent;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.limits.DispatchAction.CancelAtUpstream;
import org.catkinlift.model.HostId;
import org.catkinlift.model.RefusalCode;
import org.junit.jupiter.api.Test;

final class UpstreamDispatcherTest {
  private static final Duration SECOND = Duration.ofSeconds(1);

  @Test
  void sendsUpToTheLimitAndQueuesFourTimesAsMany() {
    var fixture = DispatcherFixture.ready(2);
    assertThat(fixture.offerMany(10)).hasSize(2);
    assertThat(fixture.queued()).isEqualTo(8);
    assertThat(codeOf(fixture.offer())).isEqualTo(RefusalCode.QUEUE_FULL);
    assertThat(sent(fixture.answer(1))).containsExactly(3L);
  }

  @Test
  void requestsWithEqualIdsAreTrackedSeparately() {
    var fixture = DispatcherFixture.ready(2);
    assertThat(fixture.offerMany(2)).containsExactly(1L, 2L).inOrder();
    var unused = fixture.answer(1);
    assertThat(fixture.inFlight()).isEqualTo(1);
  }

  @Test
  void sendStatesStartBeforeAndRemainingDeadline() {
    var fixture = DispatcherFixture.ready(1);
    assertThat(fixture.offer(SECOND))
        .containsExactly(new DispatchAction.Send(1, Duration.ofMillis(500), SECOND));
    var unused = fixture.offer(SECOND);
    fixture.advance(Duration.ofMillis(900));
    assertThat(fixture.answer(1))
        .containsExactly(
            new DispatchAction.Send(2, Duration.ofMillis(100), Duration.ofMillis(100)));
  }

  @Test
  void refusesEarlyWhenTheExpectedWaitExceedsTheDeadline() {
    var fixture = DispatcherFixture.ready(1);
    fixture.learnMedianLatency();
    assertThat(sent(fixture.offer())).hasSize(1);
    assertThat(codeOf(fixture.offer(Duration.ofMillis(15))))
        .isEqualTo(RefusalCode.DEADLINE_TOO_SHORT);
    assertThat(refused(fixture.offer(Duration.ofMillis(25)))).isEmpty();
  }

  @Test
  void idleUpstreamIsSentRequestRegardlessOfTheEstimate() {
    var fixture = DispatcherFixture.ready(1);
    fixture.learnMedianLatency();
    assertThat(sent(fixture.offer(Duration.ofMillis(1)))).hasSize(1);
  }

  @Test
  void refusesQueuedRequestsWhoseDeadlinePassed() {
    var fixture = DispatcherFixture.ready(1);
    assertThat(sent(fixture.offer())).hasSize(1);
    assertThat(fixture.offer(SECOND)).isEmpty();
    fixture.advance(SECOND);
    assertThat(codeOf(fixture.tick())).isEqualTo(RefusalCode.DEADLINE_PASSED);
  }

  @Test
  void sendsNothingWithoutCurrentLease() {
    var fixture = DispatcherFixture.withoutLease(1);
    assertThat(fixture.offer()).isEmpty();
    fixture.advance(SECOND);
    assertThat(codeOf(fixture.tick())).isEqualTo(RefusalCode.DISPATCHER_UNREACHABLE);
    var expired = DispatcherFixture.ready(1);
    expired.advance(Duration.ofHours(1));
    assertThat(expired.offer()).isEmpty();
  }

  @Test
  void refusesTheQueueWhenAnotherDaemonDispatches() {
    var fixture = DispatcherFixture.ready(1);
    assertThat(fixture.offerMany(3)).hasSize(1);
    assertThat(refused(fixture.grant(HostId.of("other"), 2, SECOND))).hasSize(2);
    assertThat(codeOf(fixture.offer())).isEqualTo(RefusalCode.DISPATCHER_UNREACHABLE);
  }

  @Test
  void sendsNothingUntilInheritedRequestsAreReported() {
    var fixture = DispatcherFixture.withoutLease(4);
    var unused = fixture.grant(1, Duration.ofHours(1));
    assertThat(fixture.offerMany(4)).isEmpty();
    fixture.advance(Duration.ofMillis(499));
    assertThat(fixture.reportInherited(0)).isEmpty();
    fixture.advance(Duration.ofMillis(1));
    assertThat(sent(fixture.reportInherited(3))).hasSize(1);
    assertThat(sent(fixture.reportInherited(0))).hasSize(3);
  }

  @Test
  void upstreamThatReportsNothingGetsOneRequestAtATime() {
    var fixture = DispatcherFixture.withoutLease(4);
    var unused = fixture.grant(1, Duration.ofHours(1));
    fixture.advance(Duration.ofMillis(1_500));
    assertThat(fixture.offerMany(4)).hasSize(1);
    fixture.advance(Duration.ofSeconds(9));
    assertThat(sent(fixture.tick())).hasSize(3);
  }

  @Test
  void renewalKeepsTheInheritedRequestCount() {
    var fixture = DispatcherFixture.ready(2);
    var unused = fixture.grant(2, Duration.ofHours(1));
    assertThat(fixture.offerMany(2)).hasSize(2);
  }

  @Test
  void delayedGrantDoesNotReplaceLaterOne() {
    var fixture = DispatcherFixture.ready(1);
    var unused = fixture.grant(3, Duration.ofMillis(1));
    unused = fixture.grant(2, Duration.ofHours(1));
    fixture.advance(Duration.ofMillis(2));
    assertThat(fixture.offer()).isEmpty();
  }

  @Test
  void failedRequestCountsAsInFlightUntilItsDeadline() {
    var fixture = DispatcherFixture.ready(1);
    assertThat(sent(fixture.offer(SECOND))).hasSize(1);
    assertThat(fixture.complete(1, new AttemptResult.Failed(RefusalCode.ANSWER_OVERDUE)))
        .containsExactly(new CancelAtUpstream(1));
    assertThat(fixture.offer()).isEmpty();
    fixture.advance(SECOND);
    assertThat(sent(fixture.tick())).isEmpty();
    fixture.advance(Duration.ofMillis(50));
    assertThat(sent(fixture.tick())).containsExactly(2L);
  }

  @Test
  void replyToCancellationFreesCapacity() {
    var fixture = DispatcherFixture.ready(1);
    assertThat(fixture.offerMany(2)).hasSize(1);
    assertThat(fixture.cancel(1)).containsExactly(new CancelAtUpstream(1));
    assertThat(sent(fixture.complete(1, new AttemptResult.Stopped()))).containsExactly(2L);
  }

  @Test
  void queuedRequestIsCancelledWithoutContactingTheUpstream() {
    var fixture = DispatcherFixture.ready(1);
    assertThat(fixture.offerMany(2)).hasSize(1);
    assertThat(fixture.cancel(2)).isEmpty();
    assertThat(fixture.queued()).isEqualTo(0);
  }

  @Test
  void newInstanceClearsRequestsWithUnknownOutcome() {
    var fixture = DispatcherFixture.ready(1);
    assertThat(fixture.offerMany(2)).hasSize(1);
    var failed = new AttemptResult.Failed(RefusalCode.CONNECTION_LOST);
    assertThat(sent(fixture.complete(1, failed))).isEmpty();
    assertThat(sent(fixture.observeInstance("second"))).containsExactly(2L);
  }

  @Test
  void upstreamThatCannotBeReachedGetsOneRequestAtATime() {
    var fixture = DispatcherFixture.ready(4);
    assertThat(fixture.offerMany(6)).hasSize(4);
    var unreachable = new AttemptResult.Refused(RefusalCode.CONNECT_FAILED);
    for (long attempt = 1; attempt <= 3; attempt++) {
      assertThat(sent(fixture.complete(attempt, unreachable))).isEmpty();
    }
    assertThat(sent(fixture.complete(4, unreachable))).hasSize(1);
    assertThat(fixture.currentLimit()).isEqualTo(1);
  }

  private static RefusalCode codeOf(ImmutableList<DispatchAction> actions) {
    return refused(actions).get(0).outcome().code();
  }
}
