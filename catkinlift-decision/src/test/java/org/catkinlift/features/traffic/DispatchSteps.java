package org.catkinlift.features.traffic;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.limits.DispatchAction;
import org.catkinlift.limits.DispatcherFixture;
import org.catkinlift.model.HostId;
import org.catkinlift.model.RefusalCode;

/** Steps for a dispatcher and its upstream. */
public final class DispatchSteps {
  private static final Duration TYPICAL_LATENCY = Duration.ofMillis(10);
  private static final Duration HOP_LATENCY = Duration.ofMillis(1);
  private static final AttemptResult LOST_RESULT =
      new AttemptResult.Failed(RefusalCode.CONNECTION_LOST);

  private DispatcherFixture dispatcher;
  private String instance = "first";
  private final List<Long> inFlight = new ArrayList<>();
  private final Map<Long, Duration> sentAt = new HashMap<>();
  private Duration now = Duration.ZERO;
  private ImmutableList<Long> cancelled = ImmutableList.of();
  private ImmutableList<DispatchAction> last = ImmutableList.of();

  @Given("an upstream that executes {int} requests at once")
  public void upstream(int limit) {
    dispatcher = DispatcherFixture.ready(limit);
  }

  @Given("{int} requests for it")
  public void requests(int count) {
    inFlight.addAll(dispatcher.offerMany(count));
  }

  @Given("a new dispatcher of the upstream with {int} requests waiting")
  public void newDispatcher(int count) {
    dispatcher = DispatcherFixture.withoutLease(count);
    inFlight.clear();
    apply(dispatcher.grant(1, Duration.ofHours(1)));
    inFlight.addAll(dispatcher.offerMany(count));
  }

  @Given("a dispatcher with {int} request in flight and {int} waiting")
  public void dispatcher(int running, int waiting) {
    dispatcher = DispatcherFixture.ready(running);
    inFlight.addAll(dispatcher.offerMany(running + waiting));
    assertThat(inFlight).hasSize(running);
  }

  @When("the upstream restarts and a probe finds the new instance")
  public void announcedRestart() {
    instance = "second";
    cancelled = ImmutableList.copyOf(inFlight);
    apply(dispatcher.observeInstance(instance));
  }

  @Then("at most {int} request is in flight once the old requests have ended")
  public void oldRequestsEnd(int count) {
    for (long attempt : cancelled) {
      inFlight.remove(attempt);
      apply(dispatcher.complete(attempt, LOST_RESULT));
    }
    for (long attempt : cancelled) {
      apply(dispatcher.complete(attempt, new AttemptResult.Stopped()));
    }
    apply(dispatcher.observeInstance(instance));
    assertThat(inFlight).hasSize(count);
  }

  @When("all connections to the upstream are lost")
  public void connectionsLost() {
    cancelled = ImmutableList.copyOf(inFlight);
    inFlight.clear();
    cancelled.forEach(attempt -> apply(dispatcher.complete(attempt, LOST_RESULT)));
  }

  @Then("nothing is sent until the upstream replies to the cancellations")
  public void nothingSent() {
    apply(dispatcher.tick());
    assertThat(inFlight).isEmpty();
  }

  @When("the upstream replies to the cancellations")
  public void cancellationsAnswered() {
    cancelled.forEach(a -> apply(dispatcher.complete(a, new AttemptResult.Stopped())));
  }

  @When("the upstream sheds {int} requests")
  public void shed(int count) {
    advance(HOP_LATENCY);
    for (int i = 0; i < count; i++) {
      apply(dispatcher.complete(inFlight.remove(0), new AttemptResult.Shed()));
    }
  }

  @When("{int} request is answered")
  public void answered(int count) {
    advance(TYPICAL_LATENCY);
    for (int i = 0; i < count; i++) {
      long attempt = inFlight.remove(0);
      Duration latency = now.minus(sentAt.getOrDefault(attempt, Duration.ZERO));
      apply(dispatcher.answer(attempt, latency, instance));
    }
  }

  @Then("no further request is sent while {int} is in flight")
  public void noneSent(int count) {
    apply(dispatcher.tick());
    assertThat(inFlight).hasSize(count);
  }

  @Then("{int} request(s) is/are in flight")
  public void inFlight(int count) {
    assertThat(inFlight).hasSize(count);
  }

  @When("the upstream reports {int} requests of the previous dispatcher")
  public void reported(int count) {
    advance(Duration.ofMillis(500));
    apply(dispatcher.reportInherited(count));
  }

  @When("another daemon becomes the dispatcher")
  public void leaseLost() {
    apply(dispatcher.grant(HostId.of("other"), 2, Duration.ofSeconds(1)));
  }

  @When("the deadlines of all requests pass")
  public void deadlinesPass() {
    advance(Duration.ofSeconds(10));
    apply(dispatcher.tick());
  }

  @Then("only the {int} waiting requests are refused as not run")
  public void refusedWaiting(int count) {
    ImmutableList<DispatchAction.Refuse> refused = DispatcherFixture.refused(last);
    assertThat(refused).hasSize(count);
    refused.forEach(refuse -> assertThat(inFlight).doesNotContain(refuse.attempt()));
  }

  private void apply(ImmutableList<DispatchAction> actions) {
    last = actions;
    DispatcherFixture.sent(actions).forEach(attempt -> sentAt.put(attempt, now));
    inFlight.addAll(DispatcherFixture.sent(actions));
  }

  private void advance(Duration duration) {
    now = now.plus(duration);
    dispatcher.advance(duration);
  }
}
