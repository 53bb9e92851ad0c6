package org.catkinlift.cli;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorReply.Reason;
import org.catkinlift.plans.OperatorRequest;
import org.catkinlift.plans.PlanRecord;
import org.catkinlift.standin.load.AuditReport;
import org.catkinlift.standin.load.RecordAudit;
import org.catkinlift.standin.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Performs operator tasks on a site of real daemons and stand-ins on loopback, partly under load.
 *
 * <p>Time-outs only keep the tests from hanging; the time bounds of the design are checked on
 * virtual time.
 */
final class OperationsTest {
  private static final HostId SUVA_1 = HostId.of("suva-1");
  private static final HostId NADI_1 = HostId.of("nadi-1");
  private static final ImmutableList<HostId> HOSTS =
      ImmutableList.of(SUVA_1, HostId.of("suva-2"), NADI_1, HostId.of("nadi-2"));
  private static final ZoneName NADI = ZoneName.of("nadi");

  private TestSite site;
  private TestLoadBalancer balancer;

  @BeforeEach
  void start() throws Exception {
    site = TestSite.start("suva", "nadi");
    site.awaitServing();
    balancer =
        new TestLoadBalancer(
            HOSTS.stream().map(h -> site.settings(h).callerAddress()).collect(toImmutableList()));
  }

  @AfterEach
  void stop() {
    balancer.close();
    site.close();
  }

  @Tag("known-red")
  @Test
  void drainsAndReturnsZoneWithoutCuttingRequests() {
    balancer.startLoad();
    awaitLoad(100);

    confirm(SUVA_1, new Intent.DrainZone(NADI));
    awaitUntil("no new executions in nadi", () -> newExecutionsIn("nadi") == 0);
    int drained = balancer.answered();
    awaitLoad(drained + 100);
    assertThat(newExecutionsIn("nadi")).isEqualTo(0);

    confirm(NADI_1, new Intent.ReturnZone(NADI));
    awaitUntil("new executions in nadi", () -> newExecutionsIn("nadi") > 0);

    assertThat(balancer.failures()).isEmpty();
    assertNoRepeatedOrderOrOwnerConflict();
  }

  @Test
  void oneOfTwoConflictingIntentsSucceeds() {
    PlanId first = makePlan(SUVA_1, new Intent.DrainZone(NADI));
    PlanId second = makePlan(NADI_1, new Intent.DrainZone(ZoneName.of("suva")));

    OperatorReply accepted =
        sendUntilPlatformReachable(SUVA_1, new OperatorRequest.ConfirmPlan(first));
    OperatorReply refused =
        sendUntilPlatformReachable(NADI_1, new OperatorRequest.ConfirmPlan(second));
    OperatorReply repeated =
        sendUntilPlatformReachable(SUVA_1, new OperatorRequest.ConfirmPlan(first));

    assertThat(stateOf(accepted)).isEqualTo(PlanRecord.State.CONFIRMED);
    assertThat(reasonOf(refused)).isEqualTo(Reason.CONFLICT);
    assertThat(stateOf(repeated)).isEqualTo(PlanRecord.State.CONFIRMED);
    awaitVersion(2);
  }

  @Test
  void refusesWrongToken() {
    var client =
        new OperatorClient(site.settings(SUVA_1).operatorAddress(), "another-token-of-length");

    var e = assertThrows(CliException.class, () -> client.send(new OperatorRequest.ShowStatus()));

    assertThat(e.code()).isEqualTo(CliException.Code.UNAUTHORIZED);
  }

  @Test
  void acceptedConfigurationReachesDaemonThatRestartsAndSurvivesPlatformOutage() {
    TestSite.await(site.stopDaemon(NADI_1));
    confirm(SUVA_1, new Intent.DrainZone(NADI));
    PlatformFaults none = site.platform().faults();
    site.platform().setFaults(none.toBuilder().outage(true).build());

    site.startDaemon(NADI_1);
    awaitVersion(2);
    OperatorReply refused = send(SUVA_1, new OperatorRequest.MakePlan(new Intent.ReturnZone(NADI)));
    assertThat(reasonOf(refused)).isEqualTo(Reason.PLATFORM_UNREACHABLE);

    site.platform().setFaults(none);
    awaitUntil("the platform is reachable", () -> canMakePlan(SUVA_1));
    assertThat(HOSTS.stream().map(this::versionOf).distinct().toList()).containsExactly(2L);
  }

  @Tag("known-red")
  @Test
  void rollingRestartUnderLoadCutsNoRequest() {
    balancer.startLoad();
    awaitLoad(100);

    for (HostId host : HOSTS) {
      TestSite.await(site.stopDaemon(host));
      int before = balancer.answered();
      awaitLoad(before + 50);
      site.startDaemon(host);
      awaitUntil(host + " serves", () -> versionOf(host) == 1);
      site.awaitServing();
      awaitUntil(
          "all cells have a coordinator", () -> HOSTS.stream().allMatch(this::hasCoordinator));
    }
    awaitLoad(balancer.answered() + 100);

    assertThat(balancer.failures()).isEmpty();
    assertNoRepeatedOrderOrOwnerConflict();
  }

  private boolean canMakePlan(HostId daemon) {
    return send(daemon, new OperatorRequest.MakePlan(new Intent.ReturnZone(NADI)))
        instanceof OperatorReply.PlanShown;
  }

  private void confirm(HostId daemon, Intent intent) {
    PlanId plan = makePlan(daemon, intent);
    OperatorReply reply = sendUntilPlatformReachable(daemon, new OperatorRequest.ConfirmPlan(plan));
    assertThat(stateOf(reply)).isEqualTo(PlanRecord.State.CONFIRMED);
  }

  /**
   * Repeats a request, as an operator would, until the platform answers the daemon in time. On a
   * busy machine a call to the platform may exceed its time limit; such a reply does not tell
   * whether the request would be accepted.
   */
  private OperatorReply sendUntilPlatformReachable(HostId daemon, OperatorRequest request) {
    var reply = new AtomicReference<OperatorReply>();
    awaitUntil(
        "the platform answers in time",
        () -> {
          reply.set(send(daemon, request));
          return !isPlatformUnreachable(reply.get());
        });
    return reply.get();
  }

  private static boolean isPlatformUnreachable(OperatorReply reply) {
    return reply instanceof OperatorReply.Failed failed
        && failed.reason() == Reason.PLATFORM_UNREACHABLE;
  }

  private PlanId makePlan(HostId daemon, Intent intent) {
    OperatorReply reply = sendUntilPlatformReachable(daemon, new OperatorRequest.MakePlan(intent));
    assertThat(reply).isInstanceOf(OperatorReply.PlanShown.class);
    return ((OperatorReply.PlanShown) reply).plan().plan().id();
  }

  private static PlanRecord.State stateOf(OperatorReply reply) {
    assertThat(reply).isInstanceOf(OperatorReply.PlanShown.class);
    return ((OperatorReply.PlanShown) reply).plan().state();
  }

  private static Reason reasonOf(OperatorReply reply) {
    assertThat(reply).isInstanceOf(OperatorReply.Failed.class);
    return ((OperatorReply.Failed) reply).reason();
  }

  private OperatorReply send(HostId daemon, OperatorRequest request) {
    NetworkAddress address = site.settings(daemon).operatorAddress();
    return new OperatorClient(address, TestSite.TOKEN).send(request);
  }

  private long versionOf(HostId daemon) {
    var facts = (OperatorReply.Facts) send(daemon, new OperatorRequest.ShowStatus());
    return Long.parseLong(facts.facts().get(OperatorReply.Facts.CONFIGURATION_VERSION));
  }

  private boolean hasCoordinator(HostId daemon) {
    var facts = (OperatorReply.Facts) send(daemon, new OperatorRequest.ShowStatus());
    return !facts.facts().get("coordinator").equals("none");
  }

  private void awaitVersion(long version) {
    awaitUntil(
        "version " + version + " is in force everywhere",
        () -> HOSTS.stream().allMatch(h -> versionOf(h) == version));
  }

  private void awaitLoad(int answers) {
    awaitUntil(answers + " answers", () -> balancer.answered() >= answers);
  }

  /** Counts the executions in a zone that start while the next 20 answers arrive. */
  private long newExecutionsIn(String zone) {
    long before = executionsIn(zone);
    int answered = balancer.answered();
    awaitLoad(answered + 20);
    return executionsIn(zone) - before;
  }

  private long executionsIn(String zone) {
    return site.upstreamActivities("desk-" + zone).stream()
        .mapToLong(r -> r.executions().size())
        .sum();
  }

  private void assertNoRepeatedOrderOrOwnerConflict() {
    AuditReport audit = RecordAudit.compare(ImmutableSet.of(), site.upstreamActivities("desk-"));
    assertThat(audit.ordersRunTwice()).isEqualTo(0);
    assertThat(audit.ownerConflicts()).isEqualTo(0);
  }

  private void awaitUntil(String description, BooleanSupplier condition) {
    site.awaitUntil(() -> description + " " + balancer.failures(), condition);
  }
}
