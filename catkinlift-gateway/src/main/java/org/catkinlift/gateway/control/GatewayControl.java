package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
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
import org.catkinlift.timer.TimerService;
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

  private final GatewaySettings settings;
  private final TimerService timers;
  private final MetadataStore store;
  private final EventLog log;
  private final Consumer<TrafficSnapshot> snapshotListener;
  private final Consumer<AdmissionShares> sharesListener;
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private final ReporterList reporters = new ReporterList();
  private final Map<ServiceName, RangeMap> storedRangeMaps = new HashMap<>();
  private final Map<ServiceName, Long> rangeMapVersions = new HashMap<>();
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
      Consumer<QuotaShares> quotaSharesListener) {
    this.settings = settings;
    this.timers = timers;
    this.store = store;
    this.log = log;
    this.snapshotListener = snapshotListener;
    this.sharesListener = sharesListener;
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
      case StoreUpdate.InitialReadCompleted completed -> initialReadCompleted = true;
      case StoreUpdate.CallAnswered answered -> {
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
    configuration = newConfiguration;
    routes = RouteTable.of(newConfiguration.routes());
    publishNow();
  }

  private void daemonRowChanged(String key, StoredRow row) {
    if (!key.startsWith(DaemonRows.MAP_PREFIX) || row.version() == 0) {
      return;
    }
    var service = ServiceName.of(key.substring(DaemonRows.MAP_PREFIX.length()));
    if (row.version() <= rangeMapVersions.getOrDefault(service, 0L)) {
      return;
    }
    RangeMap map;
    try {
      map = RangeMapCodec.decode(row.value());
    } catch (RuntimeException e) {
      log.log(
          EventCode.ROW_SKIPPED,
          ImmutableMap.of("key", key, "version", row.version(), "reason", e.toString()));
      return;
    }
    rangeMapVersions.put(service, row.version());
    storedRangeMaps.put(service, map);
    log.log(
        EventCode.RANGE_MAP_APPLIED,
        ImmutableMap.of(
            "service", service, "version", row.version(), "ranges", map.assignments().size()));
  }

  private void tick() {
    ClockReading now = HostClock.now();
    if (directory.refreshUnlisted(now.nanos())) {
      keyedServices.upstreamsChanged();
      schedulePublish();
    }
    if (!initialReadCompleted || !configuration.isKnown()) {
      return;
    }
    if (role.refresh()) {
      roleChanged();
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

  private void roleChanged() {
    store.setPollingEnabled(true);
    if (role.isHeld()) {
      quotaShares.start(System.nanoTime());
    } else {
      keyedServices.stop();
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
      log.log(EventCode.PEER_MESSAGE_SKIPPED, ImmutableMap.of("reason", e.toString()));
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
                    storeConfirmed && !reporters.isPolling(report.host()),
                    storeConfirmed,
                    directory.gracePeriod(nowNanos),
                    held ? store.changesSince(report.observedVersions()) : ImmutableList.of())
                .withQuotaShares(
                    held
                        ? quotaShares.reportReceived(report.host(), report.quotas(), nowNanos)
                        : ShareGrant.none())));
  }

  private void applyRelayedUpdates(CoordinatorReply reply) {
    if (reply.storeConfirmed()) {
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
    Map<ServiceName, RangeMap> rangeMaps = new HashMap<>(storedRangeMaps);
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
