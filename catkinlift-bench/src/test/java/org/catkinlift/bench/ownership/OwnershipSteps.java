package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
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
  private FakeHost dispatcher;
  private Set<Integer> keysBefore = ImmutableSet.of();
  private ImmutableMap<Integer, UpstreamId> ownersBefore = ImmutableMap.of();

  @Given("three zones with three hosts and three upstreams each, in service")
  public void inService() {
    start(GrantChecking.checked());
  }

  @Given("the upstreams check no grants")
  public void unchecked() {
    start(GrantChecking.unchecked());
  }

  private void start(GrantChecking checking) {
    var kind = new ServiceKind.Keyed(64, CutOffRule.hold(), checking);
    world = OwnershipWorlds.of(kind, 3, 3, 9, 4);
    pass(12);
    ownersBefore = world.owners();
  }

  /** After a fault the owners are not those that a first assignment gives. */
  @When("the owners are noted")
  public void noteOwners() {
    ownersBefore = world.owners();
  }

  @When("{int} ms pass")
  public void passMillis(int millis) {
    world.advance(Duration.ofMillis(millis));
  }

  @When("the coordinator of {string} is paused")
  public void pauseCoordinator(String zone) {
    world.coordinator(zone).orElseThrow().pause();
  }

  @When("the coordinator of {string} and upstream {string} are cut off for {int} seconds")
  public void cutOff(String zone, String upstream, int seconds) {
    cutOff(ImmutableSet.of(coordinatorName(zone), upstream), seconds);
  }

  @When("the coordinator of {string} is cut off for {int} seconds")
  public void cutOffCoordinator(String zone, int seconds) {
    cutOff(ImmutableSet.of(coordinatorName(zone)), seconds);
  }

  @When("messages to the coordinator of {string} are delayed by {int} ms for {int} seconds")
  public void delayToCoordinator(String zone, int millis, int seconds) {
    delayNode(coordinatorName(zone), millis, seconds);
  }

  @When("messages to a dispatcher of {string} are delayed by {int} ms for {int} seconds")
  public void delayToDispatcher(String zone, int millis, int seconds) {
    dispatcher = dispatcherOf(zone);
    delayNode(dispatcher.id().value(), millis, seconds);
  }

  @When("that dispatcher is cut off for {int} seconds")
  public void cutOffDispatcher(int seconds) {
    cutOff(ImmutableSet.of(dispatcher.id().value()), seconds);
  }

  @When("a dispatcher of {string} that does not coordinate is cut off and retires")
  public void cutOffAndRetire(String zone) {
    dispatcher = dispatcherOf(zone);
    world.network().cut(ImmutableSet.of(dispatcher.id().value()));
    world.accept(
        world.configuration().toBuilder().retiringHosts(ImmutableSet.of(dispatcher.id())).build());
  }

  /** The delays stay in force until the next step that cuts or ends them. */
  private void delayNode(String node, int millis, int seconds) {
    world.network().delay(node, Duration.ofMillis(millis));
    pass(seconds);
  }

  private void cutOff(ImmutableSet<String> nodes, int seconds) {
    world.network().cut(nodes);
    pass(seconds);
    world.network().heal();
  }

  private String coordinatorName(String zone) {
    return world.coordinator(zone).orElseThrow().id().value();
  }

  private FakeHost dispatcherOf(String zone) {
    return world.hosts().stream()
        .filter(h -> h.self().zone().value().equals(zone))
        .filter(h -> !h.hasAuthority() && !h.leases().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  @When("messages to the voters of {string} are delayed by {int} ms")
  public void delayToVoters(String zone, int millis) {
    world.hosts().stream()
        .filter(h -> h.self().zone().value().equals(zone) && !h.hasAuthority())
        .forEach(h -> world.network().delay(h.id().value(), Duration.ofMillis(millis)));
  }

  @When("delays end")
  public void delaysEnd() {
    world.network().heal();
  }

  @When("the platform is up again")
  public void platformUp() {
    world.platform().setDown(false);
  }

  @Then("every key of other upstreams than {string} has kept its owner")
  public void keptOwner(String lost) {
    ImmutableMap<Integer, UpstreamId> now = world.owners();
    assertThat(ownersBefore).isNotEmpty();
    ownersBefore.forEach(
        (slot, owner) -> {
          if (!owner.value().equals(lost)) {
            assertWithMessage("slot %s", slot).that(now.get(slot)).isEqualTo(owner);
          }
        });
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
