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
import org.catkinlift.gateway.store.StoreNews;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.traffic.TrafficSnapshot;
import org.catkinlift.gateway.traffic.UpstreamView;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.ClockReading;
import org.catkinlift.ranges.CoordinatorLease;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.routes.RouteTable;
import org.catkinlift.timer.TimerService;
import org.catkinlift.upstreams.UpstreamDirectory;
import org.catkinlift.upstreams.UpstreamStatus;

/**
 * Owns the control state of a daemon: what the store and the other daemons tell, the coordinator
 * role, and the snapshot that it publishes to the traffic thread. Confined to the control thread.
 */
public final class GatewayControl {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

  /** Share of the site's time limits that is used; the rest covers the way of the news. */
  private static final double USED_SHARE = 0.4;

  private final GatewaySettings settings;
  private final TimerService timers;
  private final MetadataStore store;
  private final EventLog log;
  private final Consumer<TrafficSnapshot> publish;
  private final Consumer<AdmissionShares> publishShares;
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private final ReporterList reporters = new ReporterList();
  private final Map<ServiceName, RangeMap> storedMaps = new HashMap<>();
  private final Map<ServiceName, Long> mapVersions = new HashMap<>();
  private final CoordinatorLease lease;
  private final CoordinatorRole role;
  private final KeyedServices keyed;
  private final PeerReports reports;

  private RouteConfiguration configuration = RouteConfiguration.NONE;
  private RouteTable routes = RouteTable.of(ImmutableList.of());
  private boolean firstReadDone;
  private boolean publishPending;

  /**
   * Creates the control state.
   *
   * @param settings the daemon's settings
   * @param timers the timers of the control thread
   * @param store the store
   * @param grants tells upstreams which keys they hold
   * @param peers calls other daemons
   * @param log takes decisions
   * @param incarnation tells lives of this daemon apart
   * @param publish takes each new snapshot
   * @param publishShares takes what overloaded upstreams can take
   */
  public GatewayControl(
      GatewaySettings settings,
      TimerService timers,
      MetadataStore store,
      KeyGrants grants,
      TextHttpClient peers,
      EventLog log,
      long incarnation,
      Consumer<TrafficSnapshot> publish,
      Consumer<AdmissionShares> publishShares) {
    this.settings = settings;
    this.timers = timers;
    this.store = store;
    this.log = log;
    this.publish = publish;
    this.publishShares = publishShares;
    this.lease =
        new CoordinatorLease(
            settings.host(), settings.addresses().peers(), incarnation, HostClock.now());
    this.role = new CoordinatorRole(settings.host(), store, lease, log);
    this.keyed =
        new KeyedServices(
            store, grants, log, settings.bounds().longestHold(), service -> publishSoon());
    this.reports =
        new PeerReports(
            settings.host(),
            settings.processor(),
            store,
            peers,
            lease,
            this::publishSoon,
            this::newsPassedOn,
            publishShares);
  }

  /** Begins to follow the store and to decide. */
  public void start() {
    store.follow(OwnRows.TABLE, this::newsArrived);
    timers.every(TICK, this::tick);
    timers.every(REPORT_INTERVAL, this::report);
  }

  private void newsArrived(StoreNews news) {
    long nanos = System.nanoTime();
    switch (news) {
      case StoreNews.ConfigurationChanged changed -> apply(changed.configuration());
      case StoreNews.EvacuationsChanged changed -> {
        log.log(EventCode.OUT_OF_SERVICE_ZONES_CHANGED, ImmutableMap.of("zones", changed.zones()));
        directory.zonesOutOfService(changed.zones(), nanos);
        keyed.upstreamsChanged();
      }
      case StoreNews.UpstreamsChanged changed -> {
        directory.listed(changed.upstreams(), nanos);
        keyed.upstreamsChanged();
      }
      case StoreNews.OwnRowChanged changed -> ownRowChanged(changed.key(), changed.row());
      case StoreNews.FirstReadDone done -> firstReadDone = true;
      case StoreNews.Reachability reachability -> {
        directory.storeReachable(reachability.answers(), nanos);
        log.log(
            reachability.answers() ? EventCode.PLATFORM_REACHABLE : EventCode.PLATFORM_UNREACHABLE,
            ImmutableMap.of("reason", reachability.reason()));
      }
    }
    publishSoon();
  }

  private void apply(RouteConfiguration next) {
    if (next.version() <= configuration.version()) {
      log.log(
          EventCode.CONFIGURATION_STALE,
          ImmutableMap.of("version", next.version(), "in_force", configuration.version()));
      return;
    }
    log.log(
        EventCode.CONFIGURATION_APPLIED,
        ImmutableMap.of(
            "version",
            next.version(),
            "before",
            configuration.version(),
            "routes",
            next.routes().size()));
    configuration = next;
    routes = RouteTable.of(next.routes());
    publishNow();
  }

  private void ownRowChanged(String key, StoredRow row) {
    if (!key.startsWith(OwnRows.MAP_PREFIX) || row.version() == 0) {
      return;
    }
    var service = ServiceName.of(key.substring(OwnRows.MAP_PREFIX.length()));
    if (row.version() <= mapVersions.getOrDefault(service, 0L)) {
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
    mapVersions.put(service, row.version());
    storedMaps.put(service, map);
    log.log(
        EventCode.RANGE_MAP_APPLIED,
        ImmutableMap.of(
            "service", service, "version", row.version(), "ranges", map.assignments().size()));
  }

  private void tick() {
    ClockReading now = HostClock.now();
    if (directory.refresh(now.nanos())) {
      keyed.upstreamsChanged();
      publishSoon();
    }
    if (!firstReadDone || !configuration.isKnown()) {
      return;
    }
    if (role.refresh()) {
      roleChanged();
    }
    if (role.isHeld()) {
      keyed.storeDoubtful(lease.isStoreFailing(), now.nanos());
      keyed.tick(configuration, directory.entries(), lease.claimVersion(), now.nanos());
      if (reports.isStronger(reporters.strongest())) {
        role.yieldToStronger(now.nanos());
      }
    }
  }

  private void roleChanged() {
    store.askForNews(true);
    if (!role.isHeld()) {
      keyed.stop();
    }
  }

  /**
   * Takes the traffic since the last call.
   *
   * @param work the work that arrived
   * @param speeds how long upstreams worked
   */
  public void trafficSeen(
      ImmutableList<LoadReport.KeyWork> work,
      ImmutableMap<UpstreamId, LoadReport.WorkTimes> speeds) {
    reports.trafficSeen(work, speeds);
  }

  private void report() {
    LoadReport report = reports.take();
    if (role.isHeld()) {
      keyed.reported(report);
      reports.counted(reporters.count(System.nanoTime()));
      publishShares.accept(keyed.shares());
    } else {
      reports.send(report);
    }
  }

  /**
   * Answers a message of another daemon.
   *
   * @param path the path of the message
   * @param body the message
   * @return the answer
   */
  public TextResponse answerPeer(String path, String body) {
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
    long nanos = System.nanoTime();
    store.peerHasSeen(report.news());
    reporters.reported(report, nanos);
    boolean held = lease.isHeld(HostClock.now());
    if (held) {
      keyed.reported(report);
    }
    return new TextResponse(
        200,
        PeerCodec.encode(
            new CoordinatorReply(
                settings.host(),
                held,
                lease.rowVersion(),
                reporters.count(nanos),
                Math.max(settings.processor(), reporters.strongest()),
                store.newsVersions(),
                held ? keyed.shares() : AdmissionShares.ADMIT_ALL,
                held && role.hasRecentNews() && !reporters.asksTheStore(report.host()),
                directory.gracePeriod(nanos),
                held ? store.newsSince(report.news()) : ImmutableList.of())));
  }

  private void newsPassedOn(CoordinatorReply reply) {
    directory.extendGracePeriod(reply.tolerance(), System.nanoTime());
    store.takeNews(reply.rows(), reply.news());
  }

  /** Publishes once after all news of this turn have been taken. */
  private void publishSoon() {
    if (!publishPending) {
      publishPending = true;
      timers.after(Duration.ZERO, this::publishNow);
    }
  }

  private void publishNow() {
    publishPending = false;
    ImmutableMap.Builder<UpstreamId, UpstreamView> upstreams = ImmutableMap.builder();
    for (UpstreamDirectory.Entry entry : directory.entries()) {
      upstreams.put(entry.upstream().id(), view(entry));
    }
    publish.accept(
        new TrafficSnapshot(
            configuration, routes, upstreams.buildOrThrow(), maps(), reports.daemons()));
  }

  private ImmutableMap<ServiceName, RangeMap> maps() {
    Map<ServiceName, RangeMap> maps = new HashMap<>(storedMaps);
    if (role.isHeld()) {
      maps.putAll(keyed.maps());
    }
    return ImmutableMap.copyOf(maps);
  }

  private UpstreamView view(UpstreamDirectory.Entry entry) {
    return switch (entry.status()) {
      case UpstreamStatus.InService in ->
          new UpstreamView(entry.upstream(), OptionalLong.empty(), OptionalLong.empty());
      case UpstreamStatus.Leaving leaving -> {
        Duration limit =
            switch (leaving.cause()) {
              case DRAINING, UNLISTED -> settings.bounds().drain();
              case ZONE_OUT_OF_SERVICE -> settings.bounds().evacuate();
            };
        long stop = leaving.sinceNanos() + (long) (limit.toNanos() * USED_SHARE);
        yield new UpstreamView(
            entry.upstream(), OptionalLong.of(leaving.sinceNanos()), OptionalLong.of(stop));
      }
    };
  }

  /** Gives up the coordinator role before the daemon ends, so that another one can take it. */
  public void resign() {
    role.resign();
  }
}
