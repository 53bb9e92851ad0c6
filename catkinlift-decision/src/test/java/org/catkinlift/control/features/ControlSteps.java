package org.catkinlift.control.features;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.RowValue;
import org.catkinlift.control.fake.FakeDaemon;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;
import org.catkinlift.plans.PlanRecord;

/** Steps of the configuration and plan features. */
public final class ControlSteps {
  private final FakeSite site = new FakeSite(1);
  private final Map<String, PlanId> plans = new HashMap<>();
  private final List<OperatorReply> replies = new ArrayList<>();
  private final Map<HostId, Long> highestVersions = new HashMap<>();
  private boolean reverted;

  @Given("three availability zones with three daemons each at configuration version {long}")
  public void threeZones(long version) {
    writeConfiguration(version);
    site.startAll(3, "suva", "nadi", "lautoka");
    advance(7);
  }

  @Given("service {word} in all availability zones")
  public void service(String name) {
    confirm("suva-01", makePlan("suva-01", putService(name)));
    advance(7);
  }

  private static Intent putService(String name) {
    return new Intent.PutService(FakeSite.service(name, 4, "suva", "nadi", "lautoka"));
  }

  @When("version {long} is written to the platform")
  public void writeConfiguration(long version) {
    site.platform()
        .put(Configuration.NAME, new RowValue.ConfigurationRow(FakeSite.configuration(version)));
  }

  @When("{int} seconds pass")
  public void advance(int seconds) {
    for (int i = 0; i < seconds * 10; i++) {
      site.run(Duration.ofMillis(100));
      site.daemons().forEach(this::observe);
    }
  }

  private void observe(FakeDaemon daemon) {
    long version = daemon.store().configuration().version();
    reverted |= version < highestVersions.getOrDefault(daemon.id(), 0L);
    highestVersions.put(daemon.id(), version);
  }

  @When("the platform is down")
  public void platformDown() {
    site.platform().down(true);
  }

  @When("the platform is up again")
  public void platformUp() {
    site.platform().down(false);
  }

  @When("availability zone {word} is cut off")
  public void partition(String zone) {
    site.setPartitioned(zone, true);
  }

  @When("availability zone {word} is connected again")
  public void reconnect(String zone) {
    site.setPartitioned(zone, false);
  }

  @When("daemon {word} is paused")
  public void pause(String host) {
    site.daemon(host).pause();
  }

  @When("daemon {word} resumes")
  public void resume(String host) {
    site.daemon(host).resume();
  }

  @When("daemon {int} of {word} starts")
  public void startDaemon(int number, String zone) {
    site.start(FakeSite.host(zone, number), FakeSite.host("suva", 1));
  }

  @When("an answer of {word} with version {long} reaches {word} late")
  public void lateAnswer(String from, long version, String to) {
    var old = new PeerMessage.PullReply(ImmutableList.of(FakeSite.configuration(version)));
    FakeDaemon receiver = site.daemon(to);
    receiver.deliver(new ControlEvent.PeerMessageReceived(site.daemon(from).id(), old));
    observe(receiver);
  }

  @Then("all daemons have version {long}")
  public void allHave(long version) {
    assertThat(site.allDaemonsHave(version)).isTrue();
  }

  @Then("no daemon went back to an older version")
  public void noReversion() {
    assertThat(reverted).isFalse();
  }

  @When("an operator on {word} plans {string} to drain {word}")
  public void planDrain(String host, String label, String zone) {
    plans.put(label, makePlan(host, new Intent.DrainZone(ZoneName.of(zone))));
  }

  private PlanId makePlan(String host, Intent intent) {
    OperatorReply reply = site.ask(host, new OperatorRequest.MakePlan(intent));
    replies.add(reply);
    return ((OperatorReply.PlanShown) reply).plan().plan().id();
  }

  @When("an operator on {word} confirms {string}")
  public void confirmLabel(String host, String label) {
    confirm(host, plans.get(label));
  }

  private void confirm(String host, PlanId plan) {
    replies.add(site.ask(host, new OperatorRequest.ConfirmPlan(plan)));
  }

  @When("the answer to the next write is lost")
  public void loseAnswer() {
    site.platform().loseAnswersOfWrites(1);
  }

  @Then("the plan lists moves from {word}")
  public void listsMoves(String zone) {
    var shown = (OperatorReply.PlanShown) Iterables.getLast(replies);
    assertThat(shown.plan().plan().loads()).isNotEmpty();
    assertThat(shown.plan().plan().refusals()).isEmpty();
    assertThat(shown.plan().plan().result().drainedZones()).containsExactly(ZoneName.of(zone));
  }

  @Then("the answer is a refusal that contains {string}")
  public void refusal(String text) {
    var shown = (OperatorReply.PlanShown) Iterables.getLast(replies);
    assertThat(String.join("; ", shown.plan().plan().refusals())).contains(text);
  }

  @Then("the plan is confirmed")
  public void planConfirmed() {
    var shown = (OperatorReply.PlanShown) Iterables.getLast(replies);
    assertThat(shown.plan().state()).isEqualTo(PlanRecord.State.CONFIRMED);
  }

  @Then("the answer is {word} and contains {string}")
  public void failure(String reason, String text) {
    var failed = (OperatorReply.Failed) Iterables.getLast(replies);
    assertThat(failed.reason()).isEqualTo(OperatorReply.Reason.valueOf(reason));
    assertThat(failed.detail()).contains(text);
  }

  @Then("availability zone {word} is drained on all daemons")
  public void drained(String zone) {
    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.store().configuration().drainedZones()).contains(ZoneName.of(zone));
    }
  }

  @Then("the platform has accepted {int} configurations")
  public void accepted(int count) {
    assertThat(site.platform().configurationVersions()).hasSize(count);
    assertThat(site.platform().configurationVersions()).isInStrictOrder();
  }
}
