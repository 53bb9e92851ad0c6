package org.catkinlift.plans;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Collections;
import java.util.Optional;
import java.util.stream.IntStream;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.control.RowValue;
import org.catkinlift.control.VersionStore;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.routing.KeyHasher;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PlanControlTest {
  private static final Duration PROPAGATION_BOUND = Duration.ofSeconds(7);
  private static final Intent CREATE =
      new Intent.PutService(FakeSite.service("desk", 4, "suva", "nadi"));

  private static final ImmutableMap<Integer, Double> NO_SLOTS = ImmutableMap.of();
  private static final ImmutableMap<String, Double> NO_KEYS = ImmutableMap.of();

  private final FakeSite site = new FakeSite(1);

  @BeforeEach
  void start() {
    site.startAll(2, "suva", "nadi");
    site.run(Duration.ofSeconds(5));
  }

  private PlanId makePlan(String host, Intent intent) {
    var reply = (OperatorReply.PlanShown) site.ask(host, new OperatorRequest.MakePlan(intent));
    assertThat(reply.plan().plan().refusals()).isEmpty();
    return reply.plan().plan().id();
  }

  private OperatorReply confirm(String host, PlanId plan) {
    return site.ask(host, new OperatorRequest.ConfirmPlan(plan));
  }

  private static PlanRecord.State stateOf(OperatorReply reply) {
    return ((OperatorReply.PlanShown) reply).plan().state();
  }

  private static OperatorReply.Failed failure(OperatorReply reply) {
    return (OperatorReply.Failed) reply;
  }

  private static Intent drain(String zone) {
    return new Intent.DrainZone(ZoneName.of(zone));
  }

  /** Guards against an intent that takes effect before its plan is confirmed. */
  @Test
  void nothingChangesBeforeTheConfirmation() {
    PlanId plan = makePlan("suva-01", CREATE);
    site.run(PROPAGATION_BOUND);
    assertThat(site.allDaemonsHave(0)).isTrue();

    assertThat(stateOf(confirm("nadi-02", plan))).isEqualTo(PlanRecord.State.CONFIRMED);
    site.run(PROPAGATION_BOUND);

    assertThat(site.allDaemonsHave(1)).isTrue();
  }

  /** Guards against a repeated confirmation that is applied twice. */
  @Test
  void repeatedConfirmationTakesEffectOnce() {
    PlanId plan = makePlan("suva-01", CREATE);
    for (String host : ImmutableList.of("suva-01", "nadi-01", "suva-01")) {
      assertThat(stateOf(confirm(host, plan))).isEqualTo(PlanRecord.State.CONFIRMED);
    }
    assertThat(site.platform().configurationVersions()).containsExactly(1L);
  }

  /**
   * Guards against two concurrent confirmations that both change the same configuration version.
   */
  @Test
  void conflictingPlansConfirmedConcurrentlyGiveOneSuccessAndOneConflict() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    PlanId first = makePlan("suva-01", drain("suva"));
    PlanId second = makePlan("nadi-01", drain("nadi"));
    site.daemon("suva-01")
        .deliver(new ControlEvent.OperatorRequested(7, new OperatorRequest.ConfirmPlan(first)));
    site.daemon("nadi-01")
        .deliver(new ControlEvent.OperatorRequested(7, new OperatorRequest.ConfirmPlan(second)));
    site.run(Duration.ofSeconds(3));

    OperatorReply winner = Iterables.getLast(site.daemon("suva-01").replies());
    OperatorReply loser = Iterables.getLast(site.daemon("nadi-01").replies());
    assertThat(stateOf(winner)).isEqualTo(PlanRecord.State.CONFIRMED);
    assertThat(failure(loser).reason()).isEqualTo(OperatorReply.Reason.CONFLICT);
    assertThat(failure(loser).detail()).contains("made from version 1");
    assertThat(failure(loser).detail()).contains("availability zone suva drained");
    assertThat(site.platform().configurationVersions()).containsExactly(1L, 2L).inOrder();
    var shown = site.ask("nadi-02", new OperatorRequest.ShowPlan(second));
    assertThat(stateOf(shown)).isEqualTo(PlanRecord.State.CONFLICT);
  }

  /** Guards against a conflict message that does not describe the other operator's change. */
  @Test
  void conflictNamesConcurrentChanges() {
    PlanId create = makePlan("suva-01", CREATE);
    PlanId drain = makePlan("nadi-01", drain("nadi"));
    confirm("suva-01", create);

    OperatorReply.Failed reply = failure(confirm("nadi-01", drain));

    assertThat(reply.detail()).contains("service desk created");
  }

  /** Guards against confirmations that fail for as long as rebalancing moves slots. */
  @Test
  void routineMovesBetweenPlanAndConfirmationAreNoConflict() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    putAssignment(assignment(1, 0));
    PlanId plan = makePlan("suva-01", drain("nadi"));
    var daemon = site.daemon("suva-01");
    daemon.deliver(new ControlEvent.OperatorRequested(7, new OperatorRequest.ConfirmPlan(plan)));
    for (int moved = 1; moved <= 20; moved++) {
      putAssignment(assignment(1 + moved, moved));
      site.run(Duration.ofMillis(5));
    }
    assertThat(stateOf(Iterables.getLast(daemon.replies()))).isEqualTo(PlanRecord.State.CONFIRMED);
  }

  /** Guards against confirming a plan whose targets no longer have the capacity for its slots. */
  @Test
  void assignmentThatOverloadsAnUpstreamIsAConflict() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    putAssignment(assignment(1, 0));
    reportLoad(2);
    PlanId plan = makePlan("suva-01", drain("nadi"));
    putAssignment(assignment(2, 31));

    OperatorReply.Failed reply = failure(confirm("suva-01", plan));

    assertThat(reply.reason()).isEqualTo(OperatorReply.Reason.CONFLICT);
    assertThat(reply.detail())
        .contains("upstream desk-suva-1 would have 7.9 requests in flight, and it bears 4");
    assertThat(reply.detail()).contains("upstream/desk-suva-1 was expected to have 4.0 requests");
  }

  /** Guards against an overload by a confirmation after the load has increased. */
  @Test
  void increasedLoadIsAConflictUntilItDrops() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    putAssignment(assignment(1, 0));
    reportLoad(1);
    PlanId plan = makePlan("suva-01", drain("nadi"));
    reportLoad(3);

    OperatorReply.Failed reply = failure(confirm("suva-01", plan));

    assertThat(reply.reason()).isEqualTo(OperatorReply.Reason.CONFLICT);
    assertThat(reply.detail())
        .contains("service desk needs 12.0 requests in flight, and the remaining upstreams bear 8");
    assertThat(reply.detail()).contains("zone/suva was expected to have 4.0 requests");
    var again = (OperatorReply.PlanShown) site.ask("suva-01", planToDrainNadi());
    assertThat(again.plan().plan().refusals()).isNotEmpty();
    reportLoad(1);
    assertThat(stateOf(confirm("suva-01", plan))).isEqualTo(PlanRecord.State.CONFIRMED);
  }

  private static OperatorRequest planToDrainNadi() {
    return new OperatorRequest.MakePlan(drain("nadi"));
  }

  /** Reports the load of each upstream after earlier reports have expired. */
  private void reportLoad(int inFlight) {
    site.run(Duration.ofMinutes(20));
    var loads =
        FakeSite.service("desk", 4, "suva", "nadi").upstreams().stream()
            .map(u -> new UpstreamLoad(u.id(), "i", 4, inFlight, 0, NO_SLOTS, NO_KEYS))
            .collect(ImmutableList.toImmutableList());
    site.daemon("suva-01").deliver(new ControlEvent.LoadReported(loads));
  }

  /** Guards against plans made from assignments that are not in the platform yet. */
  @Test
  void planIsMadeFromAssignmentsStoredInPlatform() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    putAssignment(assignment(1, 0));
    site.daemon("suva-01").store().offer(assignment(2, 1));
    PlanId plan = makePlan("suva-01", drain("nadi"));

    assertThat(stateOf(confirm("suva-01", plan))).isEqualTo(PlanRecord.State.CONFIRMED);
  }

  /**
   * Divides the slots equally between the upstreams of suva, with some extra slots on the first.
   */
  private static Assignment assignment(long counter, int extraSlots) {
    var slots = new ImmutableSortedMap.Builder<Integer, SlotOwner>(Integer::compare);
    for (int slot = 0; slot < 64; slot++) {
      var owner = UpstreamId.of(slot < 32 + extraSlots ? "desk-suva-1" : "desk-suva-2");
      slots.put(slot, SlotOwner.of(owner, Epoch.of(1, 0)));
    }
    return new Assignment(
        ServiceName.of("desk"),
        CellId.of("suva"),
        Epoch.of(1, counter),
        slots.build(),
        ImmutableMap.of());
  }

  private void putAssignment(Assignment assignment) {
    site.platform().put(assignment.name(), new RowValue.AssignmentRow(assignment));
  }

  /** Guards against reporting a failure, or writing twice, when only the reply was lost. */
  @Test
  void lostReplyToConfirmationIsResolvedByReading() {
    PlanId plan = makePlan("suva-01", CREATE);
    site.platform().loseAnswersOfWrites(1);

    assertThat(stateOf(confirm("suva-01", plan))).isEqualTo(PlanRecord.State.CONFIRMED);
    assertThat(site.platform().configurationVersions()).containsExactly(1L);
    assertThat(site.daemon("suva-01").logged(EventCode.PLAN_CONFIRMED)).isEqualTo(1);
  }

  /**
   * Guards against losing a plan, or storing it twice, when only the reply to the write was lost.
   */
  @Test
  void lostReplyToPlanCreationIsResolvedByReading() {
    site.platform().loseAnswersOfWrites(1);
    PlanId plan = makePlan("suva-01", CREATE);
    assertThat(makePlan("nadi-01", CREATE)).isEqualTo(plan);
    var plans = (OperatorReply.PlansListed) site.ask("nadi-01", OperatorRequest.ListPlans.newest());
    assertThat(plans.plans()).hasSize(1);
  }

  /** Guards against a reply of unbounded size and against pages that skip or repeat plans. */
  @Test
  void listsPlansByPagesNewestFirst() {
    int count = OperatorRequest.ListPlans.MAX_LIMIT + 5;
    ImmutableList<PlanId> ids =
        IntStream.rangeClosed(1, count)
            .mapToObj(this::putPlan)
            .collect(ImmutableList.toImmutableList());
    var newest = OperatorRequest.ListPlans.newest();
    var first = (OperatorReply.PlansListed) site.ask("suva-01", newest);
    assertThat(first.plans()).hasSize(newest.limit());
    assertThat(first.plans().get(0).plan().configurationVersion()).isEqualTo(count);
    assertThat(first.hasMore()).isTrue();

    var next = new OperatorRequest.ListPlans(5, Optional.of(ids.get(5)));
    var second = (OperatorReply.PlansListed) site.ask("suva-01", next);
    assertThat(second.plans().stream().map(p -> p.plan().configurationVersion()))
        .containsExactly(5L, 4L, 3L, 2L, 1L)
        .inOrder();
    assertThat(second.hasMore()).isFalse();

    var unknown = new OperatorRequest.ListPlans(5, Optional.of(PlanId.of("p-0")));
    assertThat(failure(site.ask("suva-01", unknown)).reason())
        .isEqualTo(OperatorReply.Reason.NOT_FOUND);
  }

  private PlanId putPlan(int version) {
    Plan plan =
        PlanBuilder.plan(
            CREATE,
            new PlanInputs(
                FakeSite.configuration(version),
                ImmutableList.of(),
                ImmutableMap.of(),
                ImmutableSet.of()));
    var record = new PlanRecord(plan, PlanRecord.State.OPEN);
    site.platform().put("plan/" + plan.id(), new RowValue.PlanRow(record));
    return plan.id();
  }

  /** Guards against confirmations that appear to succeed, or plans that are lost, in an outage. */
  @Test
  void unreachablePlatformIsReportedAndConfirmationCanBeRepeated() {
    PlanId plan = makePlan("suva-01", CREATE);
    site.platform().down(true);
    assertThat(failure(site.ask("suva-01", new OperatorRequest.MakePlan(drain("nadi")))).reason())
        .isEqualTo(OperatorReply.Reason.PLATFORM_UNREACHABLE);
    OperatorReply.Failed reply = failure(confirm("suva-01", plan));
    assertThat(reply.reason()).isEqualTo(OperatorReply.Reason.PLATFORM_UNREACHABLE);
    assertThat(reply.detail()).contains("was not confirmed");

    site.platform().down(false);

    assertThat(stateOf(confirm("suva-01", plan))).isEqualTo(PlanRecord.State.CONFIRMED);
  }

  /** Guards against applying a refused plan. */
  @Test
  void planWithRefusalsCannotBeConfirmed() {
    var made =
        (OperatorReply.PlanShown)
            site.ask("suva-01", new OperatorRequest.MakePlan(drain("labasa")));
    OperatorReply.Failed reply = failure(confirm("suva-01", made.plan().plan().id()));
    assertThat(reply.reason()).isEqualTo(OperatorReply.Reason.REFUSED);
    assertThat(failure(confirm("suva-01", PlanId.of("p-0"))).reason())
        .isEqualTo(OperatorReply.Reason.NOT_FOUND);
  }

  /** Guards against status and explain requests that depend on the platform. */
  @Test
  void statusAndExplainWorkDuringPlatformOutage() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    site.run(PROPAGATION_BOUND);
    site.platform().down(true);

    var status = (OperatorReply.Facts) site.ask("nadi-01", new OperatorRequest.ShowStatus());
    assertThat(status.facts()).containsEntry("configuration version", "1");
    assertThat(status.facts()).containsEntry("live daemons of the cell", "nadi-01, nadi-02");
    var explain =
        (OperatorReply.Facts)
            site.ask("nadi-01", new OperatorRequest.ExplainKey(ServiceName.of("desk"), "o-17"));
    assertThat(explain.facts()).containsEntry("owner", "none");
  }

  /**
   * Guards against an explanation that lacks decisions or shows those of other keys and services.
   */
  @Test
  void explainShowsTheDecisionsOfTheKeyNewestFirst() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    site.run(PROPAGATION_BOUND);
    int slot = KeyHasher.slotOf("o-17", 64);
    logDecision(EventCode.COORDINATOR_ROLE_TAKEN, "cell", "labasa");
    logDecision(EventCode.SLOT_ASSIGNED, "service", "desk", "unit", "slot " + slot, "to", "first");
    logDecision(EventCode.SLOT_ASSIGNED, "service", "files", "unit", "slot " + slot, "to", "other");
    logDecision(
        EventCode.SLOT_ASSIGNED, "service", "desk", "unit", "slot " + (slot + 1), "to", "next");
    logDecision(EventCode.KEY_OVERRIDE_ADDED, "service", "desk", "key", "o-17");
    logDecision(EventCode.KEY_OVERRIDE_ADDED, "service", "desk", "key", "o-18");
    site.run(Duration.ofSeconds(2));
    logDecision(EventCode.SLOT_RELEASED, "service", "desk", "unit", "key o-17", "from", "first");

    assertThat(explain("o-17").decisions())
        .containsExactly(
            "0.0 s ago: 3004 slot released: service desk, unit key o-17, from first",
            "2.0 s ago: 3007 hot key placed apart: service desk, key o-17",
            "2.0 s ago: 3003 slot assigned: service desk, unit slot " + slot + ", to first")
        .inOrder();
  }

  private OperatorReply.Facts explain(String key) {
    var request = new OperatorRequest.ExplainKey(ServiceName.of("desk"), key);
    return (OperatorReply.Facts) site.ask("suva-01", request);
  }

  private void logDecision(EventCode code, String... fields) {
    var map = ImmutableMap.<String, String>builder();
    for (int i = 0; i < fields.length; i += 2) {
      map.put(fields[i], fields[i + 1]);
    }
    site.daemon("suva-01").log(new DecisionEvent(code, map.buildOrThrow()));
  }

  /** Guards against an explanation without the decisions about the owner and the home cell. */
  @Test
  void explainShowsTheDecisionsAboutTheOwnerAndTheHomeCell() {
    confirm("suva-01", makePlan("suva-01", CREATE));
    site.run(PROPAGATION_BOUND);
    ServiceName desk = ServiceName.of("desk");
    CellId cell = CellId.of("suva");
    int slot = KeyHasher.slotOf("o-17", 64);
    var owner = new SlotOwner(Optional.of(UpstreamId.of("desk-suva-1")), Epoch.of(1, 1));
    VersionStore store = site.daemon("suva-01").store();
    store.offer(new HomeMap(desk, 1, ImmutableList.copyOf(Collections.nCopies(64, cell))));
    store.offer(
        new Assignment(
            desk, cell, Epoch.of(1, 2), ImmutableSortedMap.of(slot, owner), ImmutableMap.of()));
    logDecision(EventCode.COORDINATOR_ROLE_TAKEN, "cell", "suva", "term", "1");
    logDecision(EventCode.COORDINATOR_ROLE_TAKEN, "cell", "nadi", "term", "2");
    logDecision(EventCode.GRANT_REFUSED, "upstream", "desk-suva-1", "reason", "outdated");
    logDecision(EventCode.DISPATCHER_ASSIGNED, "upstream", "desk-suva-2", "dispatcher", "suva-02");

    assertThat(explain("o-17").decisions())
        .containsExactly(
            "0.0 s ago: 3005 grant refused: upstream desk-suva-1, reason outdated",
            "0.0 s ago: 3001 coordinator role taken: cell suva, term 1")
        .inOrder();
  }
}
