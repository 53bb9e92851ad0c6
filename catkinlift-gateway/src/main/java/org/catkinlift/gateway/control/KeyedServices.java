package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.catkinlift.admission.AdmissionShareController;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreResult;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.Candidate;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.KeyLoad;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.ranges.RangeCoordinator;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.routes.ServiceProfile;
import org.catkinlift.upstreams.UpstreamDirectory;
import org.catkinlift.upstreams.UpstreamRecord;
import org.catkinlift.upstreams.UpstreamStatus;

/**
 * Executes the actions of the range coordinators of all keyed services while this daemon holds the
 * coordinator role. Confined to the control thread.
 */
final class KeyedServices {
  private static final Duration LOAD_TIME_CONSTANT = Duration.ofSeconds(2);

  private static final Duration SHARES_INTERVAL = Duration.ofMillis(200);

  /** How long an upstream that does not answer grants is excluded from receiving keys. */
  private static final Duration UNREACHABLE_EXCLUSION = Duration.ofSeconds(3);

  /** If a larger share of the upstreams is unreachable, the fault is assumed to be local. */
  private static final double MAX_UNREACHABLE_SHARE = 0.2;

  private final MetadataStore store;
  private final KeyGrants grants;
  private final EventLog log;
  private final KeyEventLog keyEvents;
  private final BooleanSupplier roleHeld;
  private final Duration maxGrantDuration;
  private final StoredRangeMaps storedMaps;
  private final Consumer<ServiceName> mapListener;
  private final UpstreamSpeeds upstreamSpeeds = new UpstreamSpeeds();
  private final Map<ServiceName, RangeCoordinator> coordinators = new HashMap<>();
  private final Map<ServiceName, KeyLoad> loads = new HashMap<>();
  private final Map<ServiceName, CoordinatorLoadLog> loadLogs = new HashMap<>();
  private final Map<UpstreamId, Long> unreachableUntilNanos = new HashMap<>();
  private final AdmissionShareController shareController =
      new AdmissionShareController(System.nanoTime());
  private final Map<UpstreamId, Double> capacities = new HashMap<>();

  private long sharesUpdatedAtNanos;
  private long eraSeenNanos;
  private boolean earlierEraFound;

  KeyedServices(
      MetadataStore store,
      KeyGrants grants,
      EventLog log,
      BooleanSupplier roleHeld,
      Duration maxGrantDuration,
      StoredRangeMaps storedMaps,
      Consumer<ServiceName> mapListener) {
    this.store = store;
    this.grants = grants;
    this.log = log;
    this.keyEvents = new KeyEventLog(log);
    this.roleHeld = roleHeld;
    this.maxGrantDuration = maxGrantDuration;
    this.storedMaps = storedMaps;
    this.mapListener = mapListener;
  }

  private RowKey mapRow(ServiceName service) {
    return DaemonRows.map(store.era(), service);
  }

  /** Records that this daemon saw the present era of the store for the first time. */
  void eraSeen(long nowNanos) {
    eraSeenNanos = nowNanos;
  }

  /** Records that the store had an earlier era, in which keys may have been granted. */
  void earlierEraFound() {
    earlierEraFound = true;
  }

  /**
   * Records that the store was restored while this daemon held the coordinator role, so that its
   * maps and grants are complete if it gets the role again.
   */
  void continueInPresentEra(long nowNanos) {
    coordinators.values().forEach(c -> c.continueIn(store.era(), nowNanos));
  }

  /** Returns whether this daemon coordinates a service, or may go on with it after a restore. */
  boolean isActive() {
    return !coordinators.isEmpty();
  }

  void reportReceived(LoadReport report) {
    for (LoadReport.KeyWork work : report.keyWork()) {
      KeyLoad load = loads.get(work.service());
      if (load != null) {
        load.add(work.key(), work.expectedSeconds());
        holderOf(work)
            .ifPresent(h -> shareController.add(h, work.priority(), work.expectedSeconds()));
      }
    }
    report.workTimes().forEach(upstreamSpeeds::add);
  }

  private Optional<UpstreamId> holderOf(LoadReport.KeyWork work) {
    return coordinators
        .get(work.service())
        .map()
        .flatMap(m -> m.find(work.key()))
        .map(a -> a.holder().upstream());
  }

  /** Returns the shares of requests that overloaded upstreams admit. */
  AdmissionShares shares() {
    return shareController.shares();
  }

  void stop() {
    coordinators.values().forEach(RangeCoordinator::stop);
    coordinators.clear();
    loads.clear();
    loadLogs.clear();
    capacities.clear();
    shareController.clear();
  }

  void setStoreFailing(boolean failing, long nowNanos) {
    coordinators.values().forEach(c -> c.setStoreFailing(failing, nowNanos));
  }

  void upstreamsChanged() {
    coordinators.values().forEach(RangeCoordinator::replanNow);
  }

  /** Returns whether calls that are due wait for the end of others. */
  boolean isBacklogged() {
    return coordinators.values().stream().anyMatch(RangeCoordinator::isBacklogged);
  }

  /** Returns the range maps of the services that this daemon coordinates. */
  ImmutableMap<ServiceName, RangeMap> rangeMaps() {
    ImmutableMap.Builder<ServiceName, RangeMap> rangeMaps = ImmutableMap.builder();
    coordinators.forEach((name, c) -> c.map().ifPresent(map -> rangeMaps.put(name, map)));
    return rangeMaps.buildOrThrow();
  }

  void tick(
      RouteConfiguration configuration,
      ImmutableList<UpstreamDirectory.Entry> upstreams,
      int hostCount,
      long claimVersion,
      long nowNanos) {
    for (ServiceProfile service : configuration.services().values()) {
      if (service.keyed() && !coordinators.containsKey(service.name())) {
        var load = new KeyLoad(LOAD_TIME_CONSTANT, nowNanos);
        var coordinator = new RangeCoordinator(maxGrantDuration, load);
        loads.put(service.name(), load);
        loadLogs.put(service.name(), new CoordinatorLoadLog(log, service.name(), nowNanos));
        coordinators.put(service.name(), coordinator);
        coordinator.start(nowNanos);
      }
    }
    if (nowNanos - sharesUpdatedAtNanos > SHARES_INTERVAL.toNanos()) {
      sharesUpdatedAtNanos = nowNanos;
      removeUnknownUpstreams(upstreams);
      updateCapacities(upstreams);
      shareController.update(capacities, nowNanos);
    }
    coordinators.forEach(
        (service, coordinator) -> {
          updateUnreachable(coordinator.unreachable(), nowNanos);
          coordinator.setHostCount(hostCount);
          for (RangeAction action :
              coordinator.tick(() -> candidates(service, upstreams), nowNanos)) {
            execute(service, coordinator, action, claimVersion);
          }
          loadLogs.get(service).roundEnded(coordinator.progress(), nowNanos, System.nanoTime());
        });
  }

  private void removeUnknownUpstreams(ImmutableList<UpstreamDirectory.Entry> upstreams) {
    ImmutableSet<UpstreamId> ids =
        upstreams.stream().map(e -> e.upstream().id()).collect(ImmutableSet.toImmutableSet());
    upstreamSpeeds.retain(ids);
    capacities.keySet().retainAll(ids);
  }

  private void updateCapacities(ImmutableList<UpstreamDirectory.Entry> upstreams) {
    for (ServiceName service : coordinators.keySet()) {
      inService(service, upstreams).forEach(u -> capacities.put(u.id(), capacity(u)));
    }
  }

  private static ImmutableList<UpstreamRecord> inService(
      ServiceName service, ImmutableList<UpstreamDirectory.Entry> upstreams) {
    return upstreams.stream()
        .filter(e -> e.upstream().service().equals(service) && isInService(e.status()))
        .map(UpstreamDirectory.Entry::upstream)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the upstreams that may get keys. */
  private ImmutableList<Candidate> candidates(
      ServiceName service, ImmutableList<UpstreamDirectory.Entry> upstreams) {
    ImmutableList<UpstreamRecord> inService = inService(service, upstreams);
    long unreachableCount =
        inService.stream().filter(u -> unreachableUntilNanos.containsKey(u.id())).count();
    boolean isLocalFault = unreachableCount > inService.size() * MAX_UNREACHABLE_SHARE;
    return inService.stream()
        .filter(u -> isLocalFault || !unreachableUntilNanos.containsKey(u.id()))
        .map(u -> new Candidate(u, capacity(u), u.remainingColdTime().isZero()))
        .collect(ImmutableList.toImmutableList());
  }

  private double capacity(UpstreamRecord upstream) {
    return Math.max(1, upstream.concurrencyLimit()) / upstreamSpeeds.slowness(upstream.id());
  }

  private void updateUnreachable(ImmutableSet<UpstreamId> unreachable, long nowNanos) {
    unreachableUntilNanos.values().removeIf(untilNanos -> nowNanos > untilNanos);
    unreachable.forEach(
        u -> unreachableUntilNanos.put(u, nowNanos + UNREACHABLE_EXCLUSION.toNanos()));
  }

  private static boolean isInService(UpstreamStatus status) {
    return switch (status) {
      case UpstreamStatus.InService in -> true;
      case UpstreamStatus.Missing missing -> true;
      case UpstreamStatus.Leaving leaving -> false;
    };
  }

  private void execute(
      ServiceName service, RangeCoordinator coordinator, RangeAction action, long claimVersion) {
    switch (action) {
      case RangeAction.ReadMap read ->
          store.read(
              mapRow(service),
              CallsOfEra.inPresentEra(store, result -> mapRead(service, coordinator, result)));
      case RangeAction.WriteMap write -> {
        loadLogs.get(service).mapWriteStarted();
        keyEvents.mapPlanned(service, coordinator.map().orElse(RangeMap.EMPTY), write);
        writeMap(service, coordinator, write, claimVersion);
      }
      case RangeAction.Grant grant -> {
        keyEvents.grantStarted(service, grant);
        long startNanos = System.nanoTime();
        grants.grant(
            grant,
            termHeld(service, coordinator),
            result -> grantEnded(service, coordinator, grant, result, startNanos));
      }
      case RangeAction.Release release -> {
        long startNanos = System.nanoTime();
        grants.release(
            release,
            termHeld(service, coordinator),
            result -> releaseEnded(service, coordinator, release, result, startNanos));
      }
    }
  }

  /**
   * Returns whether this daemon holds the role in the term of the given coordinator. A call that
   * waits for its connection must not be sent in a later term, whose coordinator does not know of
   * it.
   */
  private BooleanSupplier termHeld(ServiceName service, RangeCoordinator coordinator) {
    return () -> coordinators.get(service) == coordinator && roleHeld.getAsBoolean();
  }

  private void mapRead(
      ServiceName service, RangeCoordinator coordinator, StoreResult<StoredRow> result) {
    long nowNanos = System.nanoTime();
    switch (result) {
      case StoreResult.Done<StoredRow> done when done.value().version() == 0 ->
          mapMissing(service, coordinator, nowNanos);
      case StoreResult.Done<StoredRow> done -> {
        Optional<RangeMap> map = decodeMap(service, done.value());
        if (map.isEmpty()) {
          // Read again after a delay: planning on an empty map could give keys a second holder.
          coordinator.storeCallFailed(nowNanos);
          return;
        }
        coordinator.mapRead(map.get(), done.value().version(), nowNanos);
        mapListener.accept(service);
      }
      case StoreResult.Conflict<StoredRow> c -> coordinator.storeCallFailed(nowNanos);
      case StoreResult.Refused<StoredRow> r -> coordinator.storeCallFailed(nowNanos);
      case StoreResult.Unknown<StoredRow> u -> coordinator.storeCallFailed(nowNanos);
    }
  }

  /** Without a trace of an earlier era, no key was ever granted. */
  private void mapMissing(ServiceName service, RangeCoordinator coordinator, long nowNanos) {
    if (!earlierEraFound) {
      coordinator.mapRead(RangeMap.emptyOf(store.era()), 0, nowNanos);
      mapListener.accept(service);
      return;
    }
    log.log(EventCode.RANGE_MAP_LOST, ImmutableMap.of("service", service, "era", store.era()));
    coordinator.mapMissing(storedMaps.newest(service), store.era(), eraSeenNanos, nowNanos);
  }

  private Optional<RangeMap> decodeMap(ServiceName service, StoredRow row) {
    try {
      return Optional.of(RangeMapCodec.decode(row.value()));
    } catch (RuntimeException e) {
      log.log(
          EventCode.ROW_SKIPPED,
          ImmutableMap.of(
              "key", mapRow(service).key(), "version", row.version(), "reason", e.toString()));
      return Optional.empty();
    }
  }

  private void writeMap(
      ServiceName service,
      RangeCoordinator coordinator,
      RangeAction.WriteMap write,
      long claimVersion) {
    var transaction =
        new Transaction(
            ImmutableMap.of(
                mapRow(service),
                write.expectedVersion(),
                DaemonRows.claim(store.era()),
                claimVersion),
            ImmutableMap.of(mapRow(service), RangeMapCodec.encode(write.map())),
            ImmutableSet.of());
    store.commit(
        transaction,
        CallsOfEra.inPresentEra(store, result -> mapWritten(service, coordinator, write, result)));
  }

  private void mapWritten(
      ServiceName service,
      RangeCoordinator coordinator,
      RangeAction.WriteMap write,
      StoreResult<Long> result) {
    long nowNanos = System.nanoTime();
    String outcome =
        switch (result) {
          case StoreResult.Done<Long> done -> {
            coordinator.mapWritten(done.value(), nowNanos);
            mapListener.accept(service);
            yield "done";
          }
          case StoreResult.Conflict<Long> conflict -> {
            coordinator.storeCallFailed(nowNanos);
            yield "conflict";
          }
          case StoreResult.Refused<Long> refused -> {
            coordinator.storeCallFailed(nowNanos);
            yield "refused: " + refused.reason();
          }
          case StoreResult.Unknown<Long> unknown -> {
            coordinator.storeCallFailed(nowNanos);
            yield "unknown: " + unknown.reason();
          }
        };
    log.log(
        EventCode.RANGE_MAP_WRITTEN,
        ImmutableMap.of(
            "service",
            service,
            "expected_version",
            write.expectedVersion(),
            "ranges",
            write.map().assignments().size(),
            "moving",
            write.map().assignments().stream().filter(a -> a.isMoving()).count(),
            "outcome",
            outcome));
  }

  private void grantEnded(
      ServiceName service,
      RangeCoordinator coordinator,
      RangeAction.Grant grant,
      GrantResult result,
      long startNanos) {
    long nowNanos = System.nanoTime();
    coordinator.callEnded(grant.callId(), result, nowNanos);
    countCall(service, result);
    keyEvents.grantEnded(grant, result, Duration.ofNanos(nowNanos - startNanos));
  }

  private void releaseEnded(
      ServiceName service,
      RangeCoordinator coordinator,
      RangeAction.Release release,
      GrantResult result,
      long startNanos) {
    long nowNanos = System.nanoTime();
    coordinator.callEnded(release.callId(), result, nowNanos);
    countCall(service, result);
    keyEvents.releaseEnded(release, result, Duration.ofNanos(nowNanos - startNanos));
  }

  private void countCall(ServiceName service, GrantResult result) {
    CoordinatorLoadLog loadLog = loadLogs.get(service);
    if (loadLog != null) {
      loadLog.callEnded(result);
    }
  }
}
