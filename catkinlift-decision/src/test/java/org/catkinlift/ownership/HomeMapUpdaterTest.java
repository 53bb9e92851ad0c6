package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue.HomeRow;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;

final class HomeMapUpdaterTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long DECISION = 100 * SECOND;
  private static final int SLOTS = 128;
  private static final CellId A = CellId.of("a");
  private static final CellId B = CellId.of("b");
  private static final ServiceName SERVICE = ServiceName.of("orders");
  private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 1);
  private static final HostDefinition SELF = host(A);
  private static final ImmutableMap<Integer, Double> SLOT_LOADS =
      IntStream.range(0, SLOTS / 2)
          .boxed()
          .collect(ImmutableMap.toImmutableMap(s -> s, s -> 1.875));

  private final VersionStore store = new VersionStore();
  private final Set<CellId> cutOff = new HashSet<>();
  private final CallNumbers calls = new CallNumbers();
  private final RequestIds ids = new RequestIds(SELF.id(), "run");
  private final CellContext context =
      new CellContext(
          SELF, store, new Members(), OwnershipTimings.defaults(), ids, new PlatformReachability());
  private final ServiceDefinition service = service();
  private final CellLoads loads = new CellLoads(context, SERVICE);
  private final HomeMapUpdater updater =
      new HomeMapUpdater(context, service, loads, now -> SLOT_LOADS);

  /** A membership view in which all daemons are live except those of the cells that are cut off. */
  private final class Members implements MembershipView {
    @Override
    public HostDefinition self() {
      return SELF;
    }

    @Override
    public ImmutableSet<HostDefinition> known() {
      return ImmutableSet.of(host(A), host(B));
    }

    @Override
    public ImmutableSet<HostId> live(CellId cell, long nowNanos) {
      return cutOff.contains(cell) ? ImmutableSet.of() : ImmutableSet.of(host(cell).id());
    }

    @Override
    public Optional<HostDefinition> find(HostId id) {
      return known().stream().filter(h -> h.id().equals(id)).findFirst();
    }
  }

  private static HostDefinition host(CellId cell) {
    return new HostDefinition(HostId.of("host-" + cell), ZoneName.of(cell.value()), cell, ADDRESS);
  }

  private static ServiceDefinition service() {
    var kind = new ServiceKind.Keyed(SLOTS, CutOffRule.hold(), GrantChecking.checked());
    return new ServiceDefinition(
        SERVICE,
        kind,
        ImmutableSet.of(ZoneName.of("a"), ZoneName.of("b")),
        ImmutableList.of(upstream(A), upstream(B)),
        0);
  }

  private static UpstreamDefinition upstream(CellId cell) {
    return new UpstreamDefinition(
        UpstreamId.of("up-" + cell), ZoneName.of(cell.value()), cell, ADDRESS, 4, 40);
  }

  private static HomeMap homes(long version) {
    return new HomeMap(
        SERVICE,
        version,
        IntStream.range(0, SLOTS).mapToObj(s -> s < 64 ? A : B).collect(toImmutableList()));
  }

  private static Reply rows(HomeMap homes, String requestId) {
    String name = "home/" + SERVICE;
    return new Reply.Rows(
        ImmutableList.of(new Row(name, homes.version(), requestId, new HomeRow(homes))));
  }

  /** Passes the home map to the updater of cell a, as read from the platform. */
  private void start(long version) {
    store.offer(
        Configuration.builder().version(1).services(ImmutableMap.of(SERVICE, service)).build());
    var out = new Outbox(calls);
    updater.read(out);
    updater.onReply(platformCall(out).call(), rows(homes(version), "other"), 0, out);
  }

  private static ControlAction.CallPlatform platformCall(Outbox out) {
    return out.actions().stream()
        .filter(ControlAction.CallPlatform.class::isInstance)
        .map(ControlAction.CallPlatform.class::cast)
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  private void report(CellId cell, long counter, long homeVersion, double load) {
    var measured = new CellLoad.Measured(homeVersion, load, 0, 4);
    store.offer(new CellLoad(SERVICE, cell, Epoch.of(1, counter), measured));
  }

  private void observe(long nowNanos) {
    loads.observe(ImmutableSet.of(A, B), nowNanos);
  }

  /** Reports a load of cell a that is 1.2 times the mean, at the given time. */
  private void reportOverload(long homeVersion, long nowNanos) {
    report(A, 1, homeVersion, 120);
    report(B, 1, homeVersion, 80);
    observe(nowNanos - 2 * SECOND);
    report(A, 2, homeVersion, 120);
    report(B, 2, homeVersion, 80);
    observe(nowNanos);
  }

  private ImmutableSet<Integer> leavingAt(long nowNanos) {
    updater.plan(SLOTS, nowNanos, new Outbox(calls));
    return updater.leavingSlots();
  }

  /**
   * Guards against an overloaded cell that moves no slots, and against more moves than the budget
   * allows.
   */
  @Test
  void overloadedCellMovesSlotsWithinBudget() {
    start(1);
    reportOverload(1, DECISION);
    assertThat(leavingAt(DECISION)).hasSize(2);
  }

  /** Guards against moves based on a report that is older than the maximum age. */
  @Test
  void noSlotMovesOnStaleReport() {
    start(1);
    reportOverload(1, DECISION);
    assertThat(leavingAt(DECISION + CellLoads.MAX_REPORT_AGE.toNanos() + SECOND)).isEmpty();
  }

  /** Guards against a new coordinator that treats a report of unknown age as fresh. */
  @Test
  void noSlotMovesOnReportOfUnknownAge() {
    start(1);
    report(A, 2, 1, 120);
    report(B, 2, 1, 80);
    assertThat(leavingAt(DECISION)).isEmpty();
  }

  /**
   * Guards against a second move based on loads that were measured before the first move took
   * effect.
   */
  @Test
  void noSlotMovesOnLoadsOfEarlierHomeMap() {
    start(2);
    reportOverload(1, DECISION);
    assertThat(leavingAt(DECISION)).isEmpty();
  }

  /** Guards against moves to a cell that is cut off, and moves computed without that cell. */
  @Test
  void noSlotMovesWhileCellIsCutOff() {
    start(1);
    reportOverload(1, DECISION);
    cutOff.add(B);
    assertThat(leavingAt(DECISION)).isEmpty();
  }

  /** Guards against releasing a slot for a target cell that has been cut off in the meantime. */
  @Test
  void chosenSlotStaysIfTargetCellIsCutOff() {
    start(1);
    reportOverload(1, DECISION);
    assertThat(leavingAt(DECISION)).isNotEmpty();
    cutOff.add(B);
    assertThat(leavingAt(DECISION + SECOND)).isEmpty();
  }

  /** Guards against balancing by slot counts that reverts moves made by load. */
  @Test
  void slotCountsAreIgnoredOnceLoadIsReported() {
    start(1);
    report(A, 1, 1, 100);
    report(B, 1, 1, 100);
    var uneven =
        new HomeMap(
            SERVICE,
            2,
            IntStream.range(0, SLOTS).mapToObj(s -> s < 90 ? A : B).collect(toImmutableList()));
    var out = new Outbox(calls);
    updater.read(out);
    updater.onReply(platformCall(out).call(), rows(uneven, "other"), 0, out);
    assertThat(leavingAt(DECISION)).isEmpty();
  }

  /**
   * Guards against decisions and writes based on an outdated row after another cell has written the
   * map.
   */
  @Test
  void rowIsReadAgainAfterAnotherCellWroteLaterMap() {
    start(1);
    reportOverload(2, DECISION);
    store.offer(homes(2));
    var out = new Outbox(calls);
    updater.plan(SLOTS, DECISION, out);
    ControlAction.CallPlatform call = platformCall(out);
    assertThat(call.request()).isEqualTo(new PlatformRequest.ReadRows("home/" + SERVICE));
    assertThat(updater.leavingSlots()).isEmpty();
    updater.onReply(call.call(), rows(homes(2), "other"), DECISION, out);
    assertThat(leavingAt(DECISION)).isNotEmpty();
  }

  /**
   * Guards against a write, conditional on the old version, that would revert the write of another
   * cell.
   */
  @Test
  void conflictKeepsMapWrittenByOtherCell() {
    start(1);
    reportOverload(1, DECISION);
    ImmutableSet<Integer> leaving = leavingAt(DECISION);
    var out = new Outbox(calls);
    updater.write(leaving, DECISION, out);
    var present = (Reply.Rows) rows(homes(2), "other");
    updater.onReply(platformCall(out).call(), new Reply.Conflict(present.rows()), DECISION, out);
    assertThat(store.homeMap(SERVICE)).hasValue(homes(2));
    assertThat(updater.leavingSlots()).isEqualTo(leaving);
    var again = new Outbox(calls);
    updater.write(leaving, DECISION, again);
    var write = (PlatformRequest.Transact) platformCall(again).request();
    assertThat(write.conditions()).containsExactly("home/" + SERVICE, 2L);
  }
}
