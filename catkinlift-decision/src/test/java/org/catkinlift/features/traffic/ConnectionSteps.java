package org.catkinlift.features.traffic;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import org.catkinlift.connections.ConnectionAction;
import org.catkinlift.connections.ConnectionAction.DropAnswer;
import org.catkinlift.connections.ConnectionAction.Retire;
import org.catkinlift.connections.ConnectionHealth;
import org.catkinlift.retries.HedgeRace;

/** Steps for connections and the matching of responses to requests. */
public final class ConnectionSteps {
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final long MILLI = Duration.ofMillis(1).toNanos();

  private final ConnectionHealth health = new ConnectionHealth();
  private HedgeRace race = new HedgeRace(1);
  private ImmutableList<HedgeRace.Step> steps = ImmutableList.of();
  private ImmutableList<ConnectionAction> actions = ImmutableList.of();

  @Given("request {long} was sent on connection {long}")
  public void sent(long request, long connection) {
    health.sent(connection, request, 0, DEADLINE);
  }

  @Given("the caller of request {long} cancelled it")
  public void callerCancelled(long request) {
    health.abandoned(1, request);
  }

  @When("the response to request {long} arrives/arrived on connection {long}")
  public void answered(long request, long connection) {
    actions = health.answered(connection, request, MILLI);
  }

  @Given("connection {long} was retired after {long} ms")
  public void retired(long connection, long millis) {
    assertThat(health.tick(millis * MILLI)).containsExactly(new Retire(connection));
  }

  @Then("the response is dropped and connection {long} is closed")
  public void droppedAndClosed(long connection) {
    assertThat(actions).hasSize(2);
    assertThat(actions.get(0)).isInstanceOf(DropAnswer.class);
    assertThat(actions.get(1)).isEqualTo(new Retire(connection));
  }

  @Then("the response is dropped")
  public void dropped() {
    assertThat(actions).hasSize(1);
    assertThat(actions.get(0)).isInstanceOf(DropAnswer.class);
  }

  @Given("request {long} was hedged with attempt {long}")
  public void hedged(long first, long second) {
    race = new HedgeRace(first);
    race.hedged(second);
  }

  @When("attempts {long} and {long} are answered")
  public void bothAnswered(long first, long second) {
    steps = ImmutableList.of(race.answered(first), race.answered(second));
  }

  @Then("the caller receives only the response of attempt {long} and attempt {long} is cancelled")
  public void oneDelivered(long winner, long loser) {
    assertThat(steps)
        .containsExactly(
            new HedgeRace.Step.Deliver(winner, ImmutableList.of(loser)), new HedgeRace.Step.Drop())
        .inOrder();
  }
}
