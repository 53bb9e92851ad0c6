package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static com.google.common.collect.ImmutableSortedSet.toImmutableSortedSet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.placement.LoadAverage;
import org.catkinlift.placement.PlacementPlanner;

/**
 * Assigns owners to the slots of one keyed service whose home is this cell.
 *
 * <p>An instance exists for at most one term of the coordinator and is replaced when the definition
 * of the service changes. It first reads the home map and the assignment that the previous
 * coordinator wrote.
 */
final class SlotControl {
  /**
   * The maximum wait for an owner that is still running requests. Equals the default deadline of a
   * request.
   */
  private static final long RELEASE_WAIT_LIMIT_NANOS = 10_000_000_000L;

  private final CellContext context;
  private final ServiceDefinition service;
  private final int slotCount;
  private final EpochIssuer epochs;
  private final UpstreamGrantClient grantClient;
  private final DispatchLeases leases;
  private final UnitTable table;
  private final AssignmentWriter writer;
  private final HomeMapUpdater homeMapUpdater;
  private final PlacementFreeze freeze;
  private final UnknownGrants unknownGrants;
  private final UnitLoads loads;
  private final CellLoads cellLoads;
  private final KeyReturns keyReturns;
  private final SlotEvents events;
  private final Set<UpstreamId> changedUpstreams = new HashSet<>();
  private boolean loaded;
  private boolean assignmentChanged;
  private long homeVersion;
  private long homeVersionSince;
  private Epoch publishedVersion = Epoch.NONE;

  /**
   * Creates the control of one service.
   *
   * @param table the units of the service, which outlive this instance with their pending releases
   */
  SlotControl(
      CellContext context,
      ServiceDefinition service,
      UnitTable table,
      EpochIssuer epochs,
      UpstreamGrantClient grantClient,
      DispatchLeases leases,
      PlacementFreeze freeze,
      UnknownGrants unknownGrants) {
    this.context = context;
    this.service = service;
    this.table = table;
    this.slotCount = ServiceRules.slotCount(service);
    this.epochs = epochs;
    this.grantClient = grantClient;
    this.leases = leases;
    this.freeze = freeze;
    this.unknownGrants = unknownGrants;
    this.writer = new AssignmentWriter(rowName(), context.ids());
    this.loads = new UnitLoads(table);
    this.keyReturns = new KeyReturns(table, loads);
    this.events = new SlotEvents(service.name(), table);
    this.cellLoads = new CellLoads(context, service.name());
    this.homeMapUpdater = new HomeMapUpdater(context, service, cellLoads, loads::slotLoads);
  }

  private String rowName() {
    return Assignment.nameOf(service.name(), context.cell());
  }

  ServiceDefinition service() {
    return service;
  }

  /**
   * Returns whether the previous coordinator's assignment has been read, so that slots may be
   * granted.
   */
  boolean isLoaded() {
    return loaded;
  }

  /**
   * Returns whether no move is in progress and the platform has confirmed the latest assignment.
   */
  boolean isSettled() {
    return loaded
        && homeMapUpdater.isIdle()
        && table.releases().isEmpty()
        && writer.isConfirmed(publishedVersion);
  }

  /** Requires the home map and the assignment to be read again before the next grant. */
  void requireReload() {
    loaded = false;
    writer.requireReload();
    homeMapUpdater.requireReload();
  }

  /**
   * Reads the home map and the assignment if they are not loaded; called in each heartbeat round.
   */
  void runRound(long nowNanos, Outbox out) {
    writer.tick(nowNanos, out);
    homeMapUpdater.tick(nowNanos, out);
    if (!writer.isLoaded()) {
      writer.read(out);
    }
    if (!homeMapUpdater.isLoaded()) {
      homeMapUpdater.read(out);
    }
  }

  void onPlatformReply(long call, Reply reply, long nowNanos, Outbox out) {
    writer.onReply(call, reply, nowNanos, out);
    homeMapUpdater.onReply(call, reply, nowNanos, out);
  }

  void onLoadReported(UpstreamLoad load, long nowNanos) {
    loads.onReported(load, nowNanos);
  }

  void onReleaseAnswer(UpstreamGrantClient.ReleaseAnswer answer) {
    answer.call().units().forEach(u -> onReleaseAnswer(u, answer));
  }

  private void onReleaseAnswer(int unit, UpstreamGrantClient.ReleaseAnswer answer) {
    UnitTable.Release release = table.releases().get(unit);
    boolean answered =
        release != null
            && release.from().equals(answer.call().upstream())
            && answer.sequence().isAfter(release.epoch());
    if (!answered) {
      return;
    }
    table.update(unit, answer.released() ? release.asFinished() : release.asRunning());
  }

  /**
   * Releases, assigns and balances the slots.
   *
   * @param mayMove whether new moves may start; false while this daemon hands the role over
   * @return the upstreams whose slots have changed
   */
  ImmutableSet<UpstreamId> update(boolean mayMove, long nowNanos, Outbox out) {
    changedUpstreams.clear();
    if (!writer.isLoaded() || !homeMapUpdater.isLoaded()) {
      return ImmutableSet.of();
    }
    if (!loaded) {
      loadAssignment(nowNanos);
    }
    homeMapUpdater.plan(slotCount, nowNanos, out);
    applyHomeMap(nowNanos);
    publishLoad(nowNanos);
    if (freeze.isOver(nowNanos)) {
      startReleases(nowNanos, out);
      finishReleases(nowNanos, out);
      finishKeyReturns(out);
      homeMapUpdater.write(table.free(), nowNanos, out);
      assignFreeUnits(nowNanos, out);
      if (mayMove) {
        addHotKeyOverrides(nowNanos, out);
        startKeyReturns(nowNanos);
        balance(nowNanos, out);
      }
    }
    publish(nowNanos, out);
    return ImmutableSet.copyOf(changedUpstreams);
  }

  /** Loads the newer of the assignments stored on the platform and in the version store. */
  private void loadAssignment(long nowNanos) {
    Optional<Assignment> known = context.store().assignment(service.name(), context.cell());
    Optional<Assignment> stored = writer.storedAssignment();
    Optional<Assignment> latest =
        stored
            .filter(s -> known.filter(k -> k.versionEpoch().isAfter(s.versionEpoch())).isEmpty())
            .or(() -> known);
    latest.ifPresent(table::load);
    latest.ifPresent(a -> publishedVersion = a.version());
    holdUnitsOfRemovedUpstreams(nowNanos);
    homeVersion = 0;
    table.owned(u -> true).forEach(u -> table.owner(u).ifPresent(changedUpstreams::add));
    assignmentChanged = true;
    loaded = true;
  }

  /** Only an upstream under the {@code hold} rule can have a grant that this run does not know. */
  private void holdUnitsOfRemovedUpstreams(long nowNanos) {
    if (ServiceRules.hold(service).isEmpty()) {
      return;
    }
    ImmutableSet<UpstreamId> configured =
        service.upstreamsOf(context.cell()).stream()
            .map(UpstreamDefinition::id)
            .collect(toImmutableSet());
    for (int unit : table.owned(u -> !configured.contains(u))) {
      UpstreamId owner = table.owner(unit).orElseThrow();
      unknownGrants.onRemovedOwner(owner, service.name(), unit, nowNanos);
    }
  }

  /**
   * Publishes the load of the cell. After a change of the home map the load counts as measured
   * under the new map only after one half-life, when the averages include the slots that were
   * added.
   */
  private void publishLoad(long nowNanos) {
    boolean settled = nowNanos - homeVersionSince >= LoadAverage.HALF_LIFE.toNanos();
    long measuredUnder = settled ? homeVersion : 0;
    if (!cellLoads.isReportDue(measuredUnder, nowNanos)) {
      return;
    }
    loads
        .measured(
            capacities(nowNanos).keySet(),
            measuredUnder,
            homeMapUpdater.configuredCapacity(),
            nowNanos)
        .ifPresent(m -> cellLoads.publish(m, epochs.next(), nowNanos));
  }

  private void applyHomeMap(long nowNanos) {
    Optional<HomeMap> map = context.store().homeMap(service.name());
    if (map.isEmpty() || map.get().version() == homeVersion) {
      return;
    }
    homeVersion = map.get().version();
    homeVersionSince = nowNanos;
    ImmutableSet<Integer> homeSlots =
        IntStream.range(0, slotCount)
            .filter(s -> map.get().homes().get(s).equals(context.cell()))
            .boxed()
            .collect(toImmutableSet());
    assignmentChanged |= table.retainHomeSlots(homeSlots);
  }

  private void startReleases(long nowNanos, Outbox out) {
    ImmutableSet<UpstreamId> usable = capacities(nowNanos).keySet();
    ImmutableSet<Integer> leaving = homeMapUpdater.leavingSlots();
    for (int unit : table.owned(u -> true)) {
      UpstreamId owner = table.owner(unit).orElseThrow();
      if (usable.contains(owner) && !leaving.contains(table.slotOf(unit))) {
        continue;
      }
      startRelease(unit, nowNanos);
    }
    requestReleases(nowNanos, out, changedUpstreams);
  }

  private void startRelease(int unit, long nowNanos) {
    changedUpstreams.add(table.owner(unit).orElseThrow());
    table.startRelease(unit, epochs.next(), nowNanos);
    assignmentChanged = true;
  }

  /** Requests the pending releases from the owners; repeated in each round until they are done. */
  void requestReleases(long nowNanos, Outbox out) {
    Set<UpstreamId> owners =
        table.releases().values().stream().map(UnitTable.Release::from).collect(toImmutableSet());
    requestReleases(nowNanos, out, owners);
  }

  private void requestReleases(long nowNanos, Outbox out, Set<UpstreamId> owners) {
    for (UpstreamId owner : ImmutableSet.copyOf(owners)) {
      ImmutableSet<Integer> units =
          table.releases().entrySet().stream()
              .filter(e -> e.getValue().from().equals(owner))
              .map(Map.Entry::getKey)
              .collect(toImmutableSet());
      if (units.isEmpty() || grantClient.isLost(owner, nowNanos)) {
        continue;
      }
      grantClient.release(
          new UpstreamGrantClient.ReleaseCall(service.name(), owner, units),
          units.stream()
              .filter(u -> table.keyOf(u).isEmpty())
              .collect(toImmutableSortedSet(Comparator.naturalOrder())),
          units.stream()
              .flatMap(u -> table.keyOf(u).stream())
              .collect(toImmutableSortedSet(Comparator.naturalOrder())),
          nowNanos,
          out);
    }
  }

  private void finishReleases(long nowNanos, Outbox out) {
    table
        .releases()
        .forEach(
            (unit, release) -> {
              UnitTable.Release current = markDispatchStopped(unit, release, nowNanos);
              if (isReleaseComplete(unit, current, nowNanos)) {
                table.endRelease(unit);
                events.released(unit, release.from(), out);
              }
            });
  }

  private UnitTable.Release markDispatchStopped(
      int unit, UnitTable.Release release, long nowNanos) {
    boolean stopped =
        release.stoppedAt() == Long.MAX_VALUE
            && !assignmentChanged
            && leases.allDispatchersHaveVersion(
                release.from(), rowName(), publishedVersion, nowNanos);
    if (!stopped) {
      return release;
    }
    table.update(unit, release.stoppedAt(nowNanos));
    return table.releases().get(unit);
  }

  private boolean isReleaseComplete(int unit, UnitTable.Release release, long nowNanos) {
    Optional<Long> startBound =
        ServiceRules.startBound(service).map(context.timings()::plusClockMargin);
    if (startBound.isPresent()) {
      return release.stoppedAt() != Long.MAX_VALUE
          && nowNanos - release.stoppedAt() > startBound.get();
    }
    if (release.isFinished()) {
      return true;
    }
    boolean mayRun =
        release.isRunning() && nowNanos - release.startedAt() < RELEASE_WAIT_LIMIT_NANOS;
    return !mayRun
        && !grantClient.ledger(release.from(), nowNanos).mayHold(service.name(), unit, nowNanos);
  }

  private void assignFreeUnits(long nowNanos, Outbox out) {
    ImmutableSet<Integer> leaving = homeMapUpdater.leavingSlots();
    ImmutableSet<Integer> free =
        table.free().stream()
            .filter(u -> !leaving.contains(table.slotOf(u)))
            .collect(toImmutableSet());
    if (free.isEmpty()) {
      return;
    }
    Set<Integer> units = Sets.union(free, table.owned(u -> true));
    PlacementPlanner.reassignUnowned(loads.input(units, capacities(nowNanos), nowNanos))
        .forEach(
            move -> {
              table.assign(move.slot(), move.to(), epochs.next());
              changedUpstreams.add(move.to());
              assignmentChanged = true;
              events.assigned(move.slot(), move.to(), "least load per capacity", out);
            });
  }

  private void addHotKeyOverrides(long nowNanos, Outbox out) {
    for (String key : loads.newHotKeys(capacities(nowNanos).size(), nowNanos)) {
      table.addOverride(key, epochs.next(), epochs.next());
      int unit = table.unitOf(key).orElseThrow();
      UpstreamId owner = table.owner(unit).orElseThrow();
      grantClient.ledger(owner, nowNanos).onUnitSplit(service.name(), table.slotOf(unit), unit);
      changedUpstreams.add(owner);
      assignmentChanged = true;
      events.overridden(key, out);
    }
  }

  private void startKeyReturns(long nowNanos) {
    keyReturns
        .start(capacities(nowNanos).size(), nowNanos)
        .forEach(unit -> startRelease(unit, nowNanos));
  }

  private void finishKeyReturns(Outbox out) {
    for (String key : keyReturns.finish()) {
      assignmentChanged = true;
      events.returned(key, out);
    }
  }

  private void balance(long nowNanos, Outbox out) {
    Set<Integer> owned = table.owned(u -> true);
    for (var move : loads.balance(owned, capacities(nowNanos), nowNanos)) {
      startRelease(move.slot(), nowNanos);
      events.assigned(
          move.slot(), move.to(), "imbalance above " + PlacementPlanner.REBALANCE_THRESHOLD, out);
    }
    requestReleases(nowNanos, out, changedUpstreams);
  }

  private void publish(long nowNanos, Outbox out) {
    if (assignmentChanged) {
      assignmentChanged = false;
      publishedVersion = epochs.next();
      context.store().offer(table.toAssignment(service.name(), context.cell(), publishedVersion));
      out.markChanged();
    }
    if (context.platform().isReachable()) {
      context
          .store()
          .assignment(service.name(), context.cell())
          .ifPresent(a -> writer.write(a, nowNanos, out));
    }
  }

  /** Returns the upstreams of this cell that may own slots, with their effective capacity. */
  private ImmutableMap<UpstreamId, Double> capacities(long nowNanos) {
    return service.upstreamsOf(context.cell()).stream()
        .filter(context.store().configuration()::admits)
        .filter(u -> !grantClient.isLost(u.id(), nowNanos))
        .collect(toImmutableMap(UpstreamDefinition::id, u -> loads.capacity(u, nowNanos)));
  }

  GrantContent grantFor(UpstreamId upstream, HostId dispatcher) {
    return new GrantContent(
        service.name(),
        upstream,
        dispatcher,
        table.owned(upstream::equals),
        table.slotsOf(upstream),
        table.overridesOf(upstream));
  }
}
