package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.http.TextHttpClient;
import org.catkinlift.gateway.http.TextResponse;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.peer.CoordinatorReply;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.peer.PeerCodec;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.StoreUpdate;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.traffic.TrafficSnapshot;
import org.catkinlift.gateway.traffic.UpstreamView;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.TenantName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.quotas.QuotaShareController;
import org.catkinlift.quotas.QuotaShares;
import org.catkinlift.ranges.ClockReading;
import org.catkinlift.ranges.CoordinatorLease;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.routes.RouteTable;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.tenants.TenantProblem;
import org.catkinlift.tenants.TenantRegistry;
import org.catkinlift.timer.TimerService;
import org.catkinlift.upstreams.ConfirmedContact;
import org.catkinlift.upstreams.UpstreamDirectory;
import org.catkinlift.upstreams.UpstreamStatus;

/**
 * Owns the control state of a daemon: updates from the store and from other daemons, the
 * coordinator role, and the snapshot that is published to the traffic thread. Confined to the
 * control thread.
 */
public final class GatewayControl {
  private static final Duration COORDINATOR_TICK_INTERVAL = Duration.ofMillis(50);

  /** While grants or releases wait for the end of others. */
  private static final Duration BACKLOGGED_TICK_INTERVAL = Duration.ofMillis(20);

  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

  /**
   * The share of the configured time limits after which the daemon stops sending to a leaving
   * upstream; the rest covers the delay until the change reaches this daemon.
   */
  private static final double TIME_LIMIT_SHARE = 0.4;

  /** The maximum number of invalid entries of a configuration that are logged one by one. */
  private static final int MAX_LOGGED_PROBLEMS = 32;

  private final GatewaySettings settings;
  private final TimerService timers;
  private final MetadataStore store;
  private final EventLog log;
  private final Consumer<TrafficSnapshot> snapshotListener;
  private final Consumer<AdmissionShares> sharesListener;
  private final LongConsumer contactListener;
  private final ConfirmedContact confirmedContact = new ConfirmedContact();
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private final ReporterList reporters = new ReporterList();
  private final StoredRangeMaps storedRangeMaps;
  private final CoordinatorLease lease;
  private final CoordinatorRole role;
  private final KeyedServices keyedServices;
  private final LoadReporter loadReporter;
  private final QuotaShareController quotaShares;
  private final Consumer<QuotaShares> quotaSharesListener;

  private RouteConfiguration configuration = RouteConfiguration.NONE;
  private RouteTable routes = RouteTable.of(ImmutableList.of());
  private boolean initialReadCompleted;
  private boolean storeInContact = true;
  private boolean publishPending;

  /**
   * Creates the control state.
   *
   * @param settings the daemon's settings
   * @param timers the timers of the control thread
   * @param store the store
   * @param grants sends key grants and releases to upstreams
   * @param peerClient the client for calls to other daemons
   * @param log the log for control events
   * @param incarnation distinguishes the restarts of this daemon
   * @param snapshotListener receives each new snapshot
   * @param sharesListener receives the shares of requests that overloaded upstreams admit
   * @param contactListener receives the time of each confirmed contact with the store
   * @param quotaSharesListener receives the shares of tenants' quotas of this host
   */
  public GatewayControl(
      GatewaySettings settings,
      TimerService timers,
      MetadataStore store,
      KeyGrants grants,
      TextHttpClient peerClient,
      EventLog log,
      long incarnation,
      Consumer<TrafficSnapshot> snapshotListener,
      Consumer<AdmissionShares> sharesListener,
      LongConsumer contactListener,
      Consumer<QuotaShares> quotaSharesListener) {
    this.settings = settings;
    this.timers = timers;
    this.store = store;
    this.log = log;
    this.snapshotListener = snapshotListener;
    this.sharesListener = sharesListener;
    this.storedRangeMaps = new StoredRangeMaps(log);
    this.contactListener = contactListener;
    this.quotaSharesListener = quotaSharesListener;
    this.quotaShares = new QuotaShareController(incarnation);
    this.lease =
        new CoordinatorLease(
            settings.host(), settings.addresses().peers(), incarnation, HostClock.now());
    this.role = new CoordinatorRole(settings.host(), settings.cpuCapacity(), store, lease, log);
    this.keyedServices =
        new KeyedServices(
            store,
            grants,
            log,
            () -> lease.isHeld(HostClock.now()),
            settings.timeLimits().maxGrantDuration(),
            storedRangeMaps,
            service -> schedulePublish());
    this.loadReporter =
        new LoadReporter(
            settings.host(),
            settings.cpuCapacity(),
            store,
            peerClient,
            lease,
            this::schedulePublish,
            this::applyRelayedUpdates,
            sharesListener,
            quotaSharesListener,
            log);
  }

  /** Subscribes to the store and starts the periodic tasks. */
  public void start() {
    store.subscribe(DaemonRows.TABLE, this::storeUpdated);
    scheduleTick();
    timers.every(REPORT_INTERVAL, this::reportLoad);
  }

  private void scheduleTick() {
    timers.after(
        tickInterval(),
        () -> {
          try {
            tick();
          } finally {
            scheduleTick();
          }
        });
  }

  private Duration tickInterval() {
    if (!role.isHeld()) {
      return TICK_INTERVAL;
    }
    return keyedServices.isBacklogged() ? BACKLOGGED_TICK_INTERVAL : COORDINATOR_TICK_INTERVAL;
  }

  private void storeUpdated(StoreUpdate update) {
    long nowNanos = System.nanoTime();
    switch (update) {
      case StoreUpdate.ConfigurationChanged changed -> applyConfiguration(changed.configuration());
      case StoreUpdate.OutOfServiceZonesChanged changed -> {
        log.log(EventCode.OUT_OF_SERVICE_ZONES_CHANGED, ImmutableMap.of("zones", changed.zones()));
        directory.zonesOutOfService(changed.zones(), nowNanos);
        keyedServices.upstreamsChanged();
      }
      case StoreUpdate.UpstreamsChanged changed -> {
        directory.listed(changed.upstreams(), nowNanos);
        keyedServices.upstreamsChanged();
      }
      case StoreUpdate.DaemonRowChanged changed -> daemonRowChanged(changed.key(), changed.row());
      case StoreUpdate.EraChanged changed -> eraChanged(changed, nowNanos);
      case StoreUpdate.InitialReadCompleted completed -> initialReadCompleted = true;
      case StoreUpdate.CallAnswered answered -> {
        confirmedContact.established(Duration.ZERO, nowNanos).ifPresent(contactListener);
        contactEstablished(directory.storeAnswered(nowNanos), settings.host());
        return;
      }
      case StoreUpdate.CallFailed failed -> {
        callFailed(failed.reason());
        return;
      }
    }
    schedulePublish();
  }

  private void eraChanged(StoreUpdate.EraChanged change, long nowNanos) {
    keyedServices.eraSeen(nowNanos);
    if (!change.isRestore()) {
      return;
    }
    directory.storeRestored(nowNanos);
    lease.storeRestored(HostClock.now());
    keyedServices.earlierEraFound();
    if (lease.mayContinueTerm()) {
      keyedServices.continueInPresentEra(nowNanos);
    }
    log.log(
        EventCode.STORE_RESTORED,
        ImmutableMap.of("era", change.era(), "held_role", lease.mayContinueTerm()));
  }

  private void callFailed(String reason) {
    directory.storeCallFailed();
    if (storeInContact) {
      storeInContact = false;
      log.log(EventCode.PLATFORM_UNREACHABLE, ImmutableMap.of("reason", reason));
    }
  }

  /**
   * Handles contact with the store.
   *
   * @param outage the length of the outage that has ended; zero if there was none
   * @param via the host to which the store responded
   */
  private void contactEstablished(Duration outage, HostId via) {
    if (!storeInContact) {
      storeInContact = true;
      log.log(EventCode.PLATFORM_REACHABLE, ImmutableMap.of("via", via));
    }
    if (!outage.isZero()) {
      log.log(
          EventCode.STORE_OUTAGE_ENDED,
          ImmutableMap.of(
              "out_ms",
              outage.toMillis(),
              "grace_ms",
              directory.gracePeriod(System.nanoTime()).toMillis()));
      timers.after(Duration.ZERO, store::restartPolling);
    }
  }

  private void applyConfiguration(RouteConfiguration newConfiguration) {
    if (newConfiguration.version() <= configuration.version()) {
      log.log(
          EventCode.CONFIGURATION_STALE,
          ImmutableMap.of(
              "version", newConfiguration.version(), "in_force", configuration.version()));
      return;
    }
    log.log(
        EventCode.CONFIGURATION_APPLIED,
        ImmutableMap.of(
            "version",
            newConfiguration.version(),
            "before",
            configuration.version(),
            "routes",
            newConfiguration.routes().size()));
    logProblems(newConfiguration.tenants());
    configuration = newConfiguration;
    routes = RouteTable.of(newConfiguration.routes());
    publishNow();
  }

  private void logProblems(TenantRegistry tenants) {
    for (TenantProblem problem : Iterables.limit(tenants.problems(), MAX_LOGGED_PROBLEMS)) {
      log.log(
          EventCode.TENANT_ENTRY_INVALID,
          ImmutableMap.of("tenant", problem.tenant(), "reason", problem.reason()));
    }
    int unlogged = tenants.problems().size() - MAX_LOGGED_PROBLEMS;
    if (unlogged > 0) {
      log.log(
          EventCode.TENANT_ENTRY_INVALID,
          ImmutableMap.of("tenant", "others", "reason", unlogged + " more invalid entries"));
    }
  }

  private void daemonRowChanged(String key, StoredRow row) {
    Optional<DaemonRows.MapKey> mapKey = DaemonRows.parseMapKey(key);
    if (mapKey.isEmpty() || row.version() == 0) {
      return;
    }
    if (mapKey.get().era() < store.era()) {
      lease.earlierEraFound();
      keyedServices.earlierEraFound();
    }
    storedRangeMaps.apply(mapKey.get(), row, store.era());
  }

  private void tick() {
    ClockReading now = HostClock.now();
    confirmedContact.running(now.nanos());
    if (directory.refreshUnlisted(now.nanos())) {
      keyedServices.upstreamsChanged();
      schedulePublish();
    }
    if (!initialReadCompleted || !configuration.isKnown()) {
      return;
    }
    if (role.refresh()) {
      roleChanged(now.nanos());
    }
    if (keyedServices.isActive() && !role.isHeld() && !lease.mayContinueTerm()) {
      keyedServices.stop();
    }
    if (role.isHeld()) {
      keyedServices.setStoreFailing(lease.isStoreFailing(), now.nanos());
      keyedServices.tick(
          configuration,
          directory.entries(),
          reporters.daemonCount(now.nanos()),
          lease.claimVersion(),
          now.nanos());
      if (loadReporter.isStronger(reporters.maxCpuCapacity())) {
        role.yieldToStronger(now.nanos());
      }
    }
  }

  private void roleChanged(long nowNanos) {
    store.setPollingEnabled(true);
    if (role.isHeld()) {
      quotaShares.start(nowNanos);
    } else {
      quotaShares.stop();
    }
  }

  /**
   * Adds the traffic measured since the last call to the next load report.
   *
   * @param keyWork the requests for keyed services
   * @param workTimes the service times of upstreams
   */
  public void trafficMeasured(
      ImmutableList<LoadReport.KeyWork> keyWork,
      ImmutableMap<UpstreamId, LoadReport.WorkTimes> workTimes) {
    loadReporter.trafficMeasured(keyWork, workTimes);
  }

  /**
   * Adds to the next load report what the traffic thread states about quotas.
   *
   * @param quotas the demand since the last call and the shares of this host
   */
  public void quotasMeasured(ShareReport<TenantName> quotas) {
    loadReporter.quotasMeasured(quotas);
  }

  private void reportLoad() {
    LoadReport report = loadReporter.takeReport();
    if (role.isHeld()) {
      reportOwnQuotas();
      keyedServices.reportReceived(report);
      loadReporter.setDaemonCount(reporters.daemonCount(System.nanoTime()));
      sharesListener.accept(keyedServices.shares());
    } else {
      loadReporter.send(report);
    }
  }

  private void reportOwnQuotas() {
    long nowNanos = System.nanoTime();
    ShareGrant<TenantName> grant =
        lease.isHeld(HostClock.now())
            ? quotaShares.reportReceived(settings.host(), loadReporter.takeQuotas(), nowNanos)
            : ShareGrant.none();
    if (!grant.isNone()) {
      quotaSharesListener.accept(new QuotaShares(grant, nowNanos));
    }
  }

  /**
   * Handles a message from another daemon.
   *
   * @param path the request path
   * @param body the request body
   * @return the response
   */
  public TextResponse handlePeerMessage(String path, String body) {
    if (!path.equals(PeerCodec.REPORT_PATH)) {
      return new TextResponse(404, "");
    }
    LoadReport report;
    try {
      report = PeerCodec.decodeReport(body);
    } catch (RuntimeException e) {
      log.log(EventCode.PEER_MESSAGE_SKIPPED, ImmutableMap.of("reason", e.getClass().getName()));
      return new TextResponse(400, "");
    }
    long nowNanos = System.nanoTime();
    store.peerVersionsReceived(report.observedVersions());
    reporters.reportReceived(report, nowNanos);
    boolean held = lease.isHeld(HostClock.now());
    boolean storeConfirmed = held && role.isRecentlyConfirmed();
    if (held) {
      keyedServices.reportReceived(report);
    }
    return new TextResponse(
        200,
        PeerCodec.encode(
            new CoordinatorReply(
                    settings.host(),
                    held,
                    lease.rowVersion(),
                    reporters.daemonCount(nowNanos),
                    Math.max(settings.cpuCapacity(), reporters.maxCpuCapacity()),
                    store.observedVersions(),
                    held ? keyedServices.shares() : AdmissionShares.ADMIT_ALL,
                    storeConfirmed && mayRelyOnRelay(report),
                    storeConfirmed,
                    directory.gracePeriod(nowNanos),
                    held ? store.changesSince(report.observedVersions()) : ImmutableList.of())
                .withQuotaShares(
                    held
                        ? quotaShares.reportReceived(report.host(), report.quotas(), nowNanos)
                        : ShareGrant.none())));
  }

  /** A daemon that has not seen the present era of the store must read the tables itself. */
  private boolean mayRelyOnRelay(LoadReport report) {
    return report.observedVersions().era() == store.era() && !reporters.isPolling(report.host());
  }

  private void applyRelayedUpdates(CoordinatorReply reply) {
    if (reply.storeConfirmed()) {
      confirmedContact
          .established(CoordinatorRole.MAX_CONFIRMATION_AGE, System.nanoTime())
          .ifPresent(contactListener);
      Duration outage =
          directory.storeConfirmedByCoordinator(
              CoordinatorRole.MAX_CONFIRMATION_AGE, reply.gracePeriod(), System.nanoTime());
      contactEstablished(outage, reply.host());
    }
    store.applyChanges(reply.changes(), reply.observedVersions());
  }

  /** Publishes one snapshot after all updates of this event loop turn have been applied. */
  private void schedulePublish() {
    if (!publishPending) {
      publishPending = true;
      timers.after(Duration.ZERO, this::publishNow);
    }
  }

  private void publishNow() {
    publishPending = false;
    ImmutableMap.Builder<UpstreamId, UpstreamView> upstreams = ImmutableMap.builder();
    for (UpstreamDirectory.Entry entry : directory.entries()) {
      upstreams.put(entry.upstream().id(), toView(entry));
    }
    snapshotListener.accept(
        new TrafficSnapshot(
            configuration,
            routes,
            upstreams.buildOrThrow(),
            rangeMaps(),
            loadReporter.daemonCount()));
  }

  private ImmutableMap<ServiceName, RangeMap> rangeMaps() {
    Map<ServiceName, RangeMap> rangeMaps = storedRangeMaps.all();
    if (role.isHeld()) {
      rangeMaps.putAll(keyedServices.rangeMaps());
    }
    return ImmutableMap.copyOf(rangeMaps);
  }

  private UpstreamView toView(UpstreamDirectory.Entry entry) {
    return switch (entry.status()) {
      case UpstreamStatus.InService in -> UpstreamView.inService(entry.upstream());
      case UpstreamStatus.Missing missing -> UpstreamView.inService(entry.upstream());
      case UpstreamStatus.Leaving leaving -> {
        Duration timeLimit =
            switch (leaving.cause()) {
              case DRAINING, UNLISTED -> settings.timeLimits().drain();
              case ZONE_OUT_OF_SERVICE -> settings.timeLimits().evacuate();
            };
        long cutOffNanos = leaving.sinceNanos() + (long) (timeLimit.toNanos() * TIME_LIMIT_SHARE);
        yield new UpstreamView(
            entry.upstream(), OptionalLong.of(leaving.sinceNanos()), OptionalLong.of(cutOffNanos));
      }
    };
  }

  /** Gives up the coordinator role before shutdown, so that another daemon can claim it. */
  public void resign() {
    role.resign();
  }
}
