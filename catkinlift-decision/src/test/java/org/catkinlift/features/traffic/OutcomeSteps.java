package org.catkinlift.features.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.retries.HedgeRace;
import org.catkinlift.retries.HedgingPolicy;
import org.catkinlift.retries.RetryBudget;
import org.catkinlift.retries.RetryDecision;
import org.catkinlift.retries.RetryPolicy;

/** Steps for the attempts of a request and the outcome that its caller receives. */
public final class OutcomeSteps {
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Outcome LOST = Outcome.unknown(RefusalCode.CONNECTION_LOST);
  private static final Outcome SHED = Outcome.notRun(RefusalCode.UPSTREAM_SHED, Duration.ZERO);

  private final RetryBudget budget = new RetryBudget(0);
  private final HedgeRace race = new HedgeRace(1);
  private RequestClass requestClass = RequestClass.REPEATABLE;
  private Outcome outcome = SHED;
  private RetryDecision decision = new RetryDecision.GiveUp(SHED);

  @Given("a repeatable request whose connection was lost after it was sent")
  public void lostRequest() {
    endAttempt(1, LOST);
  }

  @When("its second attempt is shed")
  public void secondShed() {
    endAttempt(3, RetryPolicy.combine(outcome, SHED));
  }

  @Then("its caller is told that the outcome is unknown")
  public void toldUnknown() {
    assertThat(decision).isEqualTo(new RetryDecision.GiveUp(LOST));
  }

  @Given("a hedged request")
  public void hedged() {
    race.hedged(2);
  }

  @When("the first attempt is lost and the second is shed")
  public void bothFail() {
    assertThat(race.failed(1, LOST)).isEqualTo(new HedgeRace.Step.Continue());
    endAttempt(3, ((HedgeRace.Step.Fail) race.failed(2, SHED)).outcome());
  }

  @Given("an at-most-once request")
  public void atMostOnce() {
    requestClass = RequestClass.AT_MOST_ONCE;
  }

  @When("its first attempt ends with {word}")
  public void firstUnknown(String code) {
    endAttempt(1, Outcome.unknown(RefusalCode.valueOf(code)));
  }

  @When("its first attempt is refused with {word}")
  public void firstRefused(String code) {
    endAttempt(1, Outcome.notRun(RefusalCode.valueOf(code), Duration.ZERO));
  }

  @Then("it is not sent again")
  public void notSentAgain() {
    assertThat(decision).isEqualTo(new RetryDecision.GiveUp(outcome));
  }

  @Then("it is sent again")
  public void sentAgain() {
    assertThat(decision).isInstanceOf(RetryDecision.Retry.class);
  }

  @When("its second attempt is refused with {word}")
  public void secondRefused(String code) {
    Outcome refusal = Outcome.notRun(RefusalCode.valueOf(code), Duration.ZERO);
    endAttempt(2, RetryPolicy.combine(outcome, refusal), refusal);
  }

  @Then("it is rerouted without charge to the retry budget")
  public void routedAgain() {
    assertThat(decision).isInstanceOf(RetryDecision.Reroute.class);
    for (int i = 0; i < 1_000; i++) {
      endAttempt(1, outcome);
    }
    assertThat(decision).isInstanceOf(RetryDecision.Reroute.class);
  }

  @Then("it is never hedged")
  public void neverHedged() {
    var rule = new HedgingPolicy();
    for (int i = 0; i < 100; i++) {
      rule.answered(SECOND);
    }
    assertThat(rule.delay(RequestClass.REPEATABLE, ServiceKind.shared())).isPresent();
    assertThat(rule.delay(requestClass, ServiceKind.shared())).isEmpty();
  }

  private void endAttempt(int attemptsMade, Outcome only) {
    endAttempt(attemptsMade, only, only);
  }

  private void endAttempt(int attemptsMade, Outcome combined, Outcome last) {
    outcome = combined;
    decision = RetryPolicy.decide(requestClass, attemptsMade, combined, last, SECOND, budget, 0);
  }
}
