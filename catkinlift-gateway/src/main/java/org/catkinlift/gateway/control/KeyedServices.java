package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.catkinlift.admission.AdmissionShareController;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreReply;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.Candidate;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.Holder;
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
 * Carries out the decisions of the range coordinators of all keyed services, while this daemon has
 * the coordinator role. Confined to the control thread.
 */
final class KeyedServices {
  private static final Duration LOAD_MEAN_AGE = Duration.ofSeconds(2);

  private static final Duration SHARES_INTERVAL = Duration.ofMillis(200);

  /** How long an upstream that answers no grants gets no keys. */
  private static final Duration UNREACHABLE_FOR = Duration.ofSeconds(3);

  /** If more of the upstreams are unreachable, the fault is taken to be on this side. */
  private static final double MOST_UNREACHABLE = 0.2;

  private final MetadataStore store;
  private final KeyGrants grants;
  private final EventLog log;
  private final Duration longestHold;
  private final Consumer<ServiceName> mapChanged;
  private final UpstreamSpeeds speeds = new UpstreamSpeeds();
  private final Map<ServiceName, RangeCoordinator> coordinators = new HashMap<>();
  private final Map<ServiceName, KeyLoad> loads = new HashMap<>();
  private final Map<UpstreamId, Long> unreachableUntil = new HashMap<>();
  private final AdmissionShareController overload = new AdmissionShareController(System.nanoTime());
  private final Map<UpstreamId, Double> capacities = new HashMap<>();

  private long sharesNanos;

  KeyedServices(
      MetadataStore store,
      KeyGrants grants,
      EventLog log,
      Duration longestHold,
      Consumer<ServiceName> mapChanged) {
    this.store = store;
    this.grants = grants;
    this.log = log;
    this.longestHold = longestHold;
    this.mapChanged = mapChanged;
  }

  static RowKey rowOf(ServiceName service) {
    return new RowKey(OwnRows.TABLE, OwnRows.MAP_PREFIX + service);
  }

  void reported(LoadReport report) {
    for (LoadReport.KeyWork work : report.work()) {
      KeyLoad load = loads.get(work.service());
      if (load != null) {
        load.add(work.key(), work.seconds());
        holderOf(work).ifPresent(h -> overload.add(h, work.priority(), work.seconds()));
      }
    }
    report.speeds().forEach(speeds::measured);
  }

  private Optional<UpstreamId> holderOf(LoadReport.KeyWork work) {
    return coordinators
        .get(work.service())
        .map()
        .flatMap(m -> m.find(work.key()))
        .map(a -> a.holder().upstream());
  }

  /** Returns what overloaded upstreams can take. */
  AdmissionShares shares() {
    return overload.shares();
  }

  void stop() {
    coordinators.values().forEach(RangeCoordinator::stop);
    coordinators.clear();
    loads.clear();
    capacities.clear();
    overload.clear();
  }

  void storeDoubtful(boolean doubtful, long nowNanos) {
    coordinators.values().forEach(c -> c.setStoreFailing(doubtful, nowNanos));
  }

  void upstreamsChanged() {
    coordinators.values().forEach(RangeCoordinator::replanNow);
  }

  /** Returns the maps of the services that this daemon coordinates. */
  ImmutableMap<ServiceName, RangeMap> maps() {
    ImmutableMap.Builder<ServiceName, RangeMap> maps = ImmutableMap.builder();
    coordinators.forEach((name, c) -> c.map().ifPresent(map -> maps.put(name, map)));
    return maps.buildOrThrow();
  }

  void tick(
      RouteConfiguration configuration,
      ImmutableList<UpstreamDirectory.Entry> upstreams,
      long claimVersion,
      long nowNanos) {
    for (ServiceProfile service : configuration.services().values()) {
      if (service.keyed() && !coordinators.containsKey(service.name())) {
        var load = new KeyLoad(LOAD_MEAN_AGE, nowNanos);
        var coordinator = new RangeCoordinator(longestHold, load);
        loads.put(service.name(), load);
        coordinators.put(service.name(), coordinator);
        coordinator.start(nowNanos);
      }
    }
    ImmutableList<UpstreamRecord> known =
        upstreams.stream()
            .map(UpstreamDirectory.Entry::upstream)
            .collect(ImmutableList.toImmutableList());
    if (nowNanos - sharesNanos > SHARES_INTERVAL.toNanos()) {
      sharesNanos = nowNanos;
      forgetGone(known);
      overload.update(capacities, nowNanos);
    }
    coordinators.forEach(
        (service, coordinator) -> {
          ImmutableList<Candidate> candidates =
              candidates(service, coordinator, upstreams, nowNanos);
          for (RangeAction action : coordinator.tick(candidates, known, nowNanos)) {
            execute(service, coordinator, action, claimVersion);
          }
        });
  }

  private void forgetGone(ImmutableList<UpstreamRecord> known) {
    ImmutableSet<UpstreamId> ids =
        known.stream().map(UpstreamRecord::id).collect(ImmutableSet.toImmutableSet());
    speeds.retain(ids);
    capacities.keySet().retainAll(ids);
  }

  private ImmutableList<Candidate> candidates(
      ServiceName service,
      RangeCoordinator coordinator,
      ImmutableList<UpstreamDirectory.Entry> upstreams,
      long nowNanos) {
    ImmutableList<UpstreamRecord> inService =
        upstreams.stream()
            .filter(e -> e.upstream().service().equals(service))
            .filter(e -> isInService(e.status()))
            .map(UpstreamDirectory.Entry::upstream)
            .collect(ImmutableList.toImmutableList());
    noteUnreachable(coordinator.unreachable(), nowNanos);
    long away = inService.stream().filter(u -> unreachableUntil.containsKey(u.id())).count();
    boolean ownFault = away > inService.size() * MOST_UNREACHABLE;
    inService.forEach(u -> capacities.put(u.id(), capacity(u)));
    return inService.stream()
        .filter(u -> ownFault || !unreachableUntil.containsKey(u.id()))
        .map(u -> new Candidate(u, capacity(u), u.remainingColdTime().isZero()))
        .collect(ImmutableList.toImmutableList());
  }

  private double capacity(UpstreamRecord upstream) {
    return Math.max(1, upstream.concurrencyLimit()) / speeds.slowness(upstream.id());
  }

  private void noteUnreachable(ImmutableSet<UpstreamId> unreachable, long nowNanos) {
    unreachableUntil.values().removeIf(until -> nowNanos > until);
    unreachable.forEach(u -> unreachableUntil.put(u, nowNanos + UNREACHABLE_FOR.toNanos()));
  }

  private static boolean isInService(UpstreamStatus status) {
    return switch (status) {
      case UpstreamStatus.InService in -> true;
      case UpstreamStatus.Leaving leaving -> false;
    };
  }

  private void execute(
      ServiceName service, RangeCoordinator coordinator, RangeAction action, long claimVersion) {
    switch (action) {
      case RangeAction.ReadMap read ->
          store.read(rowOf(service), reply -> mapRead(service, coordinator, reply));
      case RangeAction.WriteMap write -> write(service, coordinator, write, claimVersion);
      case RangeAction.Grant grant ->
          grants.grant(grant, result -> grantEnded(coordinator, grant, result));
      case RangeAction.Release release ->
          grants.release(release, result -> releaseEnded(coordinator, release, result));
    }
  }

  private void mapRead(
      ServiceName service, RangeCoordinator coordinator, StoreReply<StoredRow> reply) {
    long now = System.nanoTime();
    switch (reply) {
      case StoreReply.Done<StoredRow> done -> {
        RangeMap map =
            done.value().version() == 0
                ? RangeMap.EMPTY
                : RangeMapCodec.decode(done.value().value());
        coordinator.mapRead(map, done.value().version(), now);
        mapChanged.accept(service);
      }
      case StoreReply.Conflict<StoredRow> c -> coordinator.storeCallFailed(now);
      case StoreReply.Refused<StoredRow> r -> coordinator.storeCallFailed(now);
      case StoreReply.Unknown<StoredRow> u -> coordinator.storeCallFailed(now);
    }
  }

  private void write(
      ServiceName service,
      RangeCoordinator coordinator,
      RangeAction.WriteMap write,
      long claimVersion) {
    var transaction =
        new Transaction(
            ImmutableMap.of(rowOf(service), write.expectedVersion(), OwnRows.CLAIM, claimVersion),
            ImmutableMap.of(rowOf(service), RangeMapCodec.encode(write.map())),
            ImmutableSet.of());
    store.commit(transaction, reply -> mapWritten(service, coordinator, write, reply));
  }

  private void mapWritten(
      ServiceName service,
      RangeCoordinator coordinator,
      RangeAction.WriteMap write,
      StoreReply<Long> reply) {
    long now = System.nanoTime();
    String outcome =
        switch (reply) {
          case StoreReply.Done<Long> done -> {
            coordinator.mapWritten(done.value(), now);
            mapChanged.accept(service);
            yield "done";
          }
          case StoreReply.Conflict<Long> conflict -> {
            coordinator.storeCallFailed(now);
            yield "conflict";
          }
          case StoreReply.Refused<Long> refused -> {
            coordinator.storeCallFailed(now);
            yield "refused: " + refused.reason();
          }
          case StoreReply.Unknown<Long> unknown -> {
            coordinator.storeCallFailed(now);
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
      RangeCoordinator coordinator, RangeAction.Grant grant, GrantResult result) {
    coordinator.callEnded(grant.callId(), result, System.nanoTime());
    logFailure("grant", grant.assignment().holder(), grant.assignment().range().toString(), result);
  }

  private void releaseEnded(
      RangeCoordinator coordinator, RangeAction.Release release, GrantResult result) {
    coordinator.callEnded(release.callId(), result, System.nanoTime());
    logFailure("release", release.from(), release.range().toString(), result);
  }

  private void logFailure(String call, Holder holder, String range, GrantResult result) {
    String outcome =
        switch (result) {
          case GrantResult.Done done -> "";
          case GrantResult.Outdated outdated -> "outdated fence";
          case GrantResult.NotSent notSent -> "not sent";
          case GrantResult.Unanswered unanswered -> "no answer";
        };
    if (!outcome.isEmpty()) {
      log.log(
          EventCode.KEY_GRANT_OR_RELEASE_FAILED,
          ImmutableMap.of(
              "call", call, "upstream", holder.upstream(), "range", range, "outcome", outcome));
    }
  }
}
