package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.Set;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Steps of the ownership features. */
public final class OwnershipSteps {
  private OwnershipWorld world;
  private FakeHost stopped;
  private Set<Integer> keysBefore = ImmutableSet.of();

  @Given("three zones with three hosts and three upstreams each, in service")
  public void inService() {
    var kind = new ServiceKind.Keyed(64, CutOffRule.hold(), GrantChecking.checked());
    world = OwnershipWorlds.of(kind, 3, 3, 9, 4);
    pass(12);
  }

  @When("{int} seconds pass")
  public void pass(int seconds) {
    world.advance(Duration.ofSeconds(seconds));
  }

  @When("upstream {string} freezes for {int} seconds")
  public void freeze(String name, int seconds) {
    upstream(name).setFrozen(true);
    pass(seconds);
    upstream(name).setFrozen(false);
  }

  @When("upstream {string} is lost")
  public void loseUpstream(String name) {
    upstream(name).lose();
  }

  @When("upstream {string} retires")
  public void retire(String name) {
    keysBefore = upstream(name).slots().keySet();
    world.accept(
        world.configuration().toBuilder()
            .retiringUpstreams(ImmutableSet.of(UpstreamId.of(name)))
            .build());
  }

  @When("upstream {string} runs a request for {int} seconds")
  public void runRequest(String name, int seconds) {
    upstream(name).run(Duration.ofSeconds(seconds).toNanos());
  }

  @When("the coordinator of {string} is paused for {int} seconds")
  public void pauseCoordinator(String zone, int seconds) {
    FakeHost host = world.coordinator(zone).orElseThrow();
    host.pause();
    pass(seconds);
    host.resume();
  }

  @When("the coordinator of {string} is lost")
  public void loseCoordinator(String zone) {
    world.coordinator(zone).orElseThrow().lose();
  }

  @When("the coordinator of {string} is asked to stop")
  public void stopCoordinator(String zone) {
    stopped = world.coordinator(zone).orElseThrow();
    stopped.stop();
  }

  @When("messages to {string} are delayed by {int} seconds for {int} seconds")
  public void delay(String node, int delay, int seconds) {
    world.network().delay(node, Duration.ofSeconds(delay));
    pass(seconds);
    world.network().heal();
  }

  @When("the answers to the next {int} writes are lost")
  public void loseAnswers(int count) {
    world.platform().loseAnswers(count);
  }

  @When("the platform is down")
  public void platformDown() {
    world.platform().setDown(true);
  }

  @When("{string} is drained")
  public void drain(String zone) {
    world.accept(
        world.configuration().toBuilder().drainedZones(ImmutableSet.of(ZoneName.of(zone))).build());
  }

  @Then("no key ever had two owners")
  public void oneOwner() {
    assertThat(world.checks().violations()).isEmpty();
  }

  @Then("no acknowledged assignment vanished")
  public void nothingVanished() {
    assertThat(world.checks().violations()).isEmpty();
  }

  @Then("every key is served")
  public void allServed() {
    assertThat(world.servedSlots().cardinality()).isEqualTo(world.slotCount());
  }

  @Then("no upstream of {string} owns a key")
  public void zoneIsEmpty(String zone) {
    ImmutableSet<String> names = world.nodes(zone);
    assertThat(world.owners().values().stream().filter(u -> names.contains(u.value()))).isEmpty();
  }

  @Then("upstream {string} owns no key")
  public void ownsNothing(String name) {
    assertThat(world.owners().values()).doesNotContain(UpstreamId.of(name));
  }

  @Then("no other upstream owns a key of {string}")
  public void keysHaveNoOtherOwner(String name) {
    world.upstreams().stream()
        .filter(u -> u != upstream(name))
        .forEach(u -> assertThat(u.slots().keySet()).containsNoneIn(keysBefore));
    assertThat(keysBefore).isNotEmpty();
  }

  @Then("no key waits for more than {int} second during {int} seconds")
  public void shortWaits(int limit, int seconds) {
    var gaps = new Unavailability(world);
    gaps.advance(Duration.ofSeconds(seconds));
    assertThat(gaps.longest()).isAtMost(Duration.ofSeconds(limit));
  }

  @Then("the stopped daemon has handed over its duties")
  public void handedOver() {
    assertThat(stopped.hasHandedOver()).isTrue();
  }

  private FakeUpstream upstream(String name) {
    return world.upstreams().stream()
        .filter(u -> u.definition().id().value().equals(name))
        .findFirst()
        .orElseThrow();
  }
}
