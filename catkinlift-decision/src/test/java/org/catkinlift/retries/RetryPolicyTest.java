package org.catkinlift.retries;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.junit.jupiter.api.Test;

final class RetryPolicyTest {
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Outcome SHED = Outcome.notRun(RefusalCode.UPSTREAM_SHED, Duration.ZERO);
  private static final Outcome LOST = Outcome.unknown(RefusalCode.CONNECTION_LOST);

  private final RetryBudget budget = new RetryBudget(0);

  @Test
  void atMostOnceRequestWithUnknownOutcomeIsNotSentAgain() {
    assertThat(decide(RequestClass.AT_MOST_ONCE, LOST)).isEqualTo(new RetryDecision.GiveUp(LOST));
  }

  @Test
  void requestThatDidNotRunIsSentAgain() {
    assertThat(decide(RequestClass.AT_MOST_ONCE, SHED)).isInstanceOf(RetryDecision.Retry.class);
  }

  @Test
  void repeatableRequestWithUnknownOutcomeIsSentAgain() {
    assertThat(decide(RequestClass.REPEATABLE, LOST)).isInstanceOf(RetryDecision.Retry.class);
  }

  @Test
  void laterRefusalDoesNotHideThatTheRequestMayHaveRun() {
    assertThat(RetryPolicy.combine(LOST, SHED)).isEqualTo(LOST);
    assertThat(RetryPolicy.combine(SHED, LOST)).isEqualTo(LOST);
    assertThat(RetryPolicy.combine(SHED, SHED)).isEqualTo(SHED);
  }

  /** Guards against lookups that fail because all attempts meet the dispatcher that was lost. */
  @Test
  void repeatableRequestIsRoutedAgainAfterItsDispatcherWasLost() {
    var unreachable = Outcome.notRun(RefusalCode.DISPATCHER_UNREACHABLE, Duration.ZERO);

    assertThat(decideAfterLoss(RequestClass.REPEATABLE, unreachable))
        .isInstanceOf(RetryDecision.Reroute.class);
    assertThat(decideAfterLoss(RequestClass.AT_MOST_ONCE, unreachable))
        .isEqualTo(new RetryDecision.GiveUp(LOST));
  }

  private RetryDecision decideAfterLoss(RequestClass requestClass, Outcome last) {
    return RetryPolicy.decide(
        requestClass, 3, RetryPolicy.combine(LOST, last), last, SECOND, budget, 0);
  }

  @Test
  void exhaustedBudgetDoesNotHideThatTheRequestMayHaveRun() {
    assertThat(budget.tryTake(0)).isTrue();
    assertThat(decide(RequestClass.REPEATABLE, LOST)).isEqualTo(new RetryDecision.GiveUp(LOST));
    assertThat(decide(RequestClass.REPEATABLE, SHED))
        .isEqualTo(
            new RetryDecision.GiveUp(
                Outcome.notRun(RefusalCode.RETRY_BUDGET_EXHAUSTED, Duration.ZERO)));
  }

  @Test
  void noRetryAfterTheDeadlineOrTheLastAttempt() {
    var late = decide(RequestClass.REPEATABLE, 1, SHED, Duration.ofMillis(5));
    var last = decide(RequestClass.REPEATABLE, 3, SHED, SECOND);
    assertThat(late).isEqualTo(new RetryDecision.GiveUp(SHED));
    assertThat(last).isEqualTo(new RetryDecision.GiveUp(SHED));
  }

  @Test
  void permanentRefusalIsNotRetried() {
    Outcome unknown = Outcome.notRun(RefusalCode.UNKNOWN_SERVICE, Duration.ZERO);
    assertThat(decide(RequestClass.REPEATABLE, unknown))
        .isEqualTo(new RetryDecision.GiveUp(unknown));
  }

  @Test
  void budgetIsATenthOfSuccessesPlusOnePerSecond() {
    assertThat(takeAll(0)).isEqualTo(1);
    for (int i = 0; i < 200; i++) {
      budget.succeeded(0);
    }
    assertThat(takeAll(0)).isAnyOf(19, 20);
    assertThat(takeAll(Duration.ofSeconds(5).toNanos())).isAnyOf(5, 6);
    assertThat(takeAll(Duration.ofDays(1).toNanos())).isEqualTo(100);
  }

  private int takeAll(long nowNanos) {
    int taken = 0;
    while (budget.tryTake(nowNanos)) {
      taken++;
    }
    return taken;
  }

  private RetryDecision decide(RequestClass requestClass, Outcome outcome) {
    return decide(requestClass, 1, outcome, SECOND);
  }

  private RetryDecision decide(
      RequestClass requestClass, int attempts, Outcome outcome, Duration remaining) {
    return RetryPolicy.decide(requestClass, attempts, outcome, outcome, remaining, budget, 0);
  }
}
