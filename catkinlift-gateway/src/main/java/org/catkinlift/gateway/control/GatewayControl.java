package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.http.HttpCaller;
import org.catkinlift.gateway.http.ShortAnswer;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.peer.CoordinatorReply;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.peer.PeerCodec;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreNews;
import org.catkinlift.gateway.store.StoreReply;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.gateway.traffic.TrafficSnapshot;
import org.catkinlift.gateway.traffic.UpstreamView;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.CoordinatorLease;
import org.catkinlift.ranges.Moment;
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

  /** Older contact with the store than this is no reason for others to rely on it. */
  private static final Duration NEWS_AGE = Duration.ofMillis(850);

  /** A new holder first keeps the role for so long, in which all hosts report. */
  private static final Duration FIRST_YIELD = Duration.ofSeconds(1);

  /** A stronger host may be unable to take the role; it gets the next chance only after this. */
  private static final Duration YIELD_INTERVAL = Duration.ofSeconds(30);

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
  private final KeyedServices keyed;
  private final PeerReports reports;

  private RouteConfiguration configuration = RouteConfiguration.NONE;
  private RouteTable routes = RouteTable.of(ImmutableList.of());
  private boolean firstReadDone;
  private boolean hasRole;
  private boolean publishPending;
  private long mayYieldNanos;

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
      HttpCaller peers,
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
        log.log(EventCode.ZONES_OUT_CHANGED, ImmutableMap.of("zones", changed.zones()));
        directory.zonesOut(changed.zones(), nanos);
        keyed.upstreamsChanged();
      }
      case StoreNews.UpstreamsChanged changed -> {
        directory.listed(changed.upstreams(), nanos);
        keyed.upstreamsChanged();
      }
      case StoreNews.OwnRowChanged changed -> ownRowChanged(changed.key(), changed.row());
      case StoreNews.FirstReadDone done -> firstReadDone = true;
      case StoreNews.Reachability reachability -> {
        directory.storeAnswers(reachability.answers(), nanos);
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
    RangeMap map = RangeMapCodec.decode(row.value());
    mapVersions.put(service, row.version());
    storedMaps.put(service, map);
    log.log(
        EventCode.RANGE_MAP_APPLIED,
        ImmutableMap.of(
            "service", service, "version", row.version(), "ranges", map.assignments().size()));
  }

  private void tick() {
    Moment now = HostClock.now();
    if (directory.refresh(now.nanos())) {
      keyed.upstreamsChanged();
      publishSoon();
    }
    if (!firstReadDone || !configuration.isKnown()) {
      return;
    }
    step(lease.next(now));
    boolean held = lease.isHeld(now);
    if (held != hasRole) {
      roleChanged(held);
    }
    if (held) {
      keyed.storeDoubtful(lease.isStoreFailing(), now.nanos());
      keyed.tick(configuration, directory.entries(), lease.claimVersion(), now.nanos());
      yieldToStronger(now.nanos());
    }
  }

  /** Leaves the role to a stronger host, because its work would take too much of a small one. */
  private void yieldToStronger(long nowNanos) {
    boolean tooSoon = nowNanos < mayYieldNanos || lease.isStoreFailing();
    if (tooSoon || !reports.isStronger(reporters.strongest())) {
      return;
    }
    OptionalLong version = lease.stepDown();
    if (version.isEmpty()) {
      return;
    }
    mayYieldNanos = nowNanos + YIELD_INTERVAL.toNanos();
    lease.strongerHostKnown(true);
    log.log(EventCode.ROLE_YIELDED, ImmutableMap.of("row_version", version.getAsLong()));
    clearLease(version.getAsLong());
  }

  private void clearLease(long version) {
    store.commit(
        new Transaction(
            ImmutableMap.of(OwnRows.LEASE, version),
            ImmutableMap.of(OwnRows.LEASE, ""),
            ImmutableSet.of()),
        reply -> log.log(EventCode.ROLE_LOST, ImmutableMap.of("cause", "given up")));
  }

  private void roleChanged(boolean held) {
    hasRole = held;
    store.askForNews(true);
    mayYieldNanos = Math.max(mayYieldNanos, System.nanoTime() + FIRST_YIELD.toNanos());
    log.log(
        held ? EventCode.ROLE_TAKEN : EventCode.ROLE_LOST,
        ImmutableMap.of("row_version", lease.rowVersion()));
    if (!held) {
      keyed.stop();
    }
  }

  private void step(CoordinatorLease.Step step) {
    switch (step) {
      case CoordinatorLease.Step.Idle idle -> {}
      case CoordinatorLease.Step.Read read -> store.read(OwnRows.LEASE, this::leaseRead);
      case CoordinatorLease.Step.Write write -> writeLease(write);
    }
  }

  private void writeLease(CoordinatorLease.Step.Write write) {
    ImmutableMap.Builder<RowKey, String> puts = ImmutableMap.builder();
    puts.put(OwnRows.LEASE, LeaseRowCodec.encode(write.row()));
    if (write.isClaim()) {
      puts.put(OwnRows.CLAIM, settings.host().value());
    }
    store.commit(
        new Transaction(
            ImmutableMap.of(OwnRows.LEASE, write.expectedVersion()),
            puts.buildOrThrow(),
            ImmutableSet.of()),
        this::leaseWritten);
  }

  private void leaseRead(StoreReply<StoredRow> reply) {
    switch (reply) {
      case StoreReply.Done<StoredRow> done ->
          lease.rowRead(
              LeaseRowCodec.decode(done.value().value()), done.value().version(), HostClock.now());
      case StoreReply.Conflict<StoredRow> conflict -> lease.callFailed();
      case StoreReply.Refused<StoredRow> refused -> lease.callFailed();
      case StoreReply.Unknown<StoredRow> unknown -> lease.callFailed();
    }
  }

  private void leaseWritten(StoreReply<Long> reply) {
    switch (reply) {
      case StoreReply.Done<Long> done -> lease.rowWritten(done.value(), HostClock.now());
      case StoreReply.Conflict<Long> conflict -> lease.writeRefused();
      case StoreReply.Refused<Long> refused -> lease.callFailed();
      case StoreReply.Unknown<Long> unknown -> lease.callFailed();
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
    if (hasRole) {
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
  public ShortAnswer answerPeer(String path, String body) {
    if (!path.equals(PeerCodec.REPORT_PATH)) {
      return new ShortAnswer(404, "");
    }
    LoadReport report;
    try {
      report = PeerCodec.decodeReport(body);
    } catch (RuntimeException e) {
      log.log(EventCode.PEER_MESSAGE_SKIPPED, ImmutableMap.of("reason", e.toString()));
      return new ShortAnswer(400, "");
    }
    long nanos = System.nanoTime();
    store.peerHasSeen(report.news());
    reporters.reported(report, nanos);
    boolean held = lease.isHeld(HostClock.now());
    if (held) {
      keyed.reported(report);
    }
    return new ShortAnswer(
        200,
        PeerCodec.encode(
            new CoordinatorReply(
                settings.host(),
                held,
                lease.rowVersion(),
                reporters.count(nanos),
                Math.max(settings.processor(), reporters.strongest()),
                store.newsVersions(),
                held ? keyed.shares() : AdmissionShares.ALL,
                held && passesNewsOn(report.host()),
                directory.tolerance(nanos),
                held ? store.newsSince(report.news()) : ImmutableList.of())));
  }

  /** A daemon may leave the store to this one while this one has just heard from it. */
  private boolean passesNewsOn(HostId reporter) {
    return !reporters.asksTheStore(reporter)
        && lease
            .confirmedAgo(HostClock.now())
            .filter(age -> age.compareTo(NEWS_AGE) < 0)
            .isPresent();
  }

  private void newsPassedOn(CoordinatorReply reply) {
    directory.tolerate(reply.tolerance(), System.nanoTime());
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
    if (hasRole) {
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
              case ZONE_OUT -> settings.bounds().evacuate();
            };
        long stop = leaving.sinceNanos() + (long) (limit.toNanos() * USED_SHARE);
        yield new UpstreamView(
            entry.upstream(), OptionalLong.of(leaving.sinceNanos()), OptionalLong.of(stop));
      }
    };
  }

  /** Gives up the coordinator role before the daemon ends, so that another one can take it. */
  public void resign() {
    boolean held = lease.isHeld(HostClock.now());
    long version = lease.rowVersion();
    lease.resign();
    if (!held) {
      return;
    }
    clearLease(version);
  }
}
