package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.admission.RequestRank;
import org.catkinlift.admission.ServiceRetryBudget;
import org.catkinlift.admission.ShutdownWindow;
import org.catkinlift.admission.UpstreamSelector;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.metrics.GatewayMetrics;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.TenantName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.quotas.QuotaLimiter;
import org.catkinlift.quotas.QuotaShares;
import org.catkinlift.routes.Route;
import org.catkinlift.routes.ServiceProfile;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.tenants.Authentication;
import org.catkinlift.tenants.Tenant;
import org.catkinlift.timer.TimerService;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Selects upstreams for requests and holds the state that all requests of the daemon share: the
 * current snapshot, the connection pools, the retry budgets and the measurements. Confined to the
 * traffic thread.
 */
public final class ReverseProxy {
  /**
   * The share of the site's retry budget in use; the rest covers uneven traffic between daemons.
   */
  private static final double BUDGET_SHARE = 0.8;

  /** Older admission shares are ignored, because the coordinator may have failed. */
  private static final Duration MAX_SHARES_AGE = Duration.ofMillis(1_500);

  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final TimerService timers;
  private final GatewaySettings settings;
  private final GatewayMetrics metrics;
  private final TrafficEvents events;
  private final SplittableRandom random;
  private final UpstreamRouting routing;
  private final TenantHeaders tenantHeaders;
  private final QuotaLimiter quotas;
  private final SuspensionDetector suspensions = new SuspensionDetector();
  private final RequestAcceptor acceptor;
  private final ImmutableSet<String> overwrittenHeaders;
  private final Map<UpstreamId, UpstreamPool> pools = new HashMap<>();
  private final Map<ServiceName, ServiceRetryBudget> retryBudgets = new HashMap<>();
  private final TrafficMeasurements measurements = new TrafficMeasurements();
  private final Set<ProxyExchange> awaitingHandover = new LinkedHashSet<>();
  private final Set<ProxyExchange> awaitingQuota = new LinkedHashSet<>();
  private final Set<ProxyExchange> inProgress = new LinkedHashSet<>();

  private TrafficSnapshot snapshot = TrafficSnapshot.EMPTY;
  private AdmissionShares shares = AdmissionShares.ADMIT_ALL;
  private long sharesReceivedNanos;
  private Optional<ShutdownWindow> shutdown = Optional.empty();

  /**
   * Creates the proxy.
   *
   * @param loop the traffic thread
   * @param timers the timers of the traffic thread
   * @param settings the daemon's settings
   * @param contactTime the time of the last confirmed contact with the store
   * @param log the event log
   * @param metrics the daemon's metrics
   * @param random the source of random numbers for upstream selection, admission and retry delays
   */
  public ReverseProxy(
      EventLoop loop,
      TimerService timers,
      GatewaySettings settings,
      ContactTime contactTime,
      EventLog log,
      GatewayMetrics metrics,
      SplittableRandom random) {
    this.loop = loop;
    this.timers = timers;
    this.settings = settings;
    this.metrics = metrics;
    this.events = new TrafficEvents(log, metrics);
    this.random = random;
    this.routing =
        new UpstreamRouting(
            settings.zone(), pools, measurements, new UpstreamSelector(random.split()));
    this.tenantHeaders = new TenantHeaders(settings.tenants());
    this.quotas = new QuotaLimiter(settings.host().hashCode());
    this.acceptor = new RequestAcceptor(settings, contactTime, quotas, events);
    HeaderNames names = settings.headers();
    this.overwrittenHeaders = ImmutableSet.of(names.deadlineMillis(), names.expectedUpstream());
    timers.every(IDLE_CHECK_INTERVAL, this::closeExpiredConnections);
  }

  /**
   * The load measured since the previous sample.
   *
   * @param keyWork the expected work of each keyed request
   * @param workTimes the measured and expected service times of each upstream
   */
  public record LoadSample(
      ImmutableList<LoadReport.KeyWork> keyWork,
      ImmutableMap<UpstreamId, LoadReport.WorkTimes> workTimes) {

    /**
     * Returns whether nothing was measured.
     *
     * @return true if there is neither work nor a service time
     */
    public boolean isEmpty() {
      return keyWork.isEmpty() && workTimes.isEmpty();
    }
  }

  /**
   * Applies a snapshot.
   *
   * @param next the new snapshot
   */
  public void apply(TrafficSnapshot next) {
    boolean isNewConfiguration =
        next.configuration().version() > snapshot.configuration().version();
    snapshot = next;
    quotas.setHosts(next.daemons());
    long now = System.nanoTime();
    List<UpstreamPool> removed = new ArrayList<>();
    for (UpstreamView view : next.upstreams().values()) {
      updatePool(view, removed, now);
    }
    pools
        .values()
        .removeIf(
            pool -> {
              boolean isUnlisted = !next.upstreams().containsKey(pool.upstream().id());
              if (isUnlisted) {
                removed.add(pool);
              }
              return isUnlisted;
            });
    routing.snapshotChanged();
    if (isNewConfiguration) {
      ImmutableList.copyOf(inProgress).forEach(ProxyExchange::configurationApplied);
    }
    // Last, because the requests that wait in these pools select other ones.
    removed.forEach(UpstreamPool::retire);
    List<ProxyExchange> waiting = new ArrayList<>(awaitingHandover);
    awaitingHandover.clear();
    waiting.forEach(ProxyExchange::retryAfterHandover);
  }

  private void updatePool(UpstreamView view, List<UpstreamPool> removed, long nowNanos) {
    UpstreamRecord upstream = view.upstream();
    UpstreamPool pool = pools.get(upstream.id());
    if (pool != null && !isSameEndpoint(pool.upstream(), upstream)) {
      pools.remove(upstream.id());
      removed.add(pool);
      pool = null;
    }
    if (pool == null) {
      pool = new UpstreamPool(this, upstream, nowNanos);
      pools.put(upstream.id(), pool);
    }
    ServiceProfile profile = snapshot.configuration().services().get(upstream.service());
    double coldRequestsPerSecond = profile == null ? 0 : profile.coldRequestsPerSecond();
    pool.update(view, coldRequestsPerSecond, snapshot.daemons(), nowNanos);
  }

  private static boolean isSameEndpoint(UpstreamRecord one, UpstreamRecord other) {
    return one.isSameIncarnation(other) && one.address().equals(other.address());
  }

  /**
   * Applies the shares of requests that overloaded upstreams admit.
   *
   * @param next the new shares
   */
  public void apply(AdmissionShares next) {
    shares = next;
    sharesReceivedNanos = System.nanoTime();
  }

  /**
   * Applies shares of tenants' quotas.
   *
   * @param next the coordinator's grant to this host
   */
  public void apply(QuotaShares next) {
    quotas.apply(next, System.nanoTime());
    ImmutableList.copyOf(awaitingQuota).forEach(ProxyExchange::quotaSharesChanged);
  }

  /**
   * Returns the state of this host's shares of quotas, and the demand since the last call.
   *
   * @return the part of the next load report about quotas
   */
  public ShareReport<TenantName> takeQuotaReport() {
    long now = System.nanoTime();
    if (suspensions.wasSuspended(now, System.currentTimeMillis())) {
      quotas.endShares(now);
    }
    ShareReport<TenantName> report = quotas.takeReport(now);
    if (quotas.takeSharesExpired()) {
      events.quotaSharesExpired();
    }
    return report;
  }

  /**
   * Limits what is sent from now on to what can end before the process does.
   *
   * @param window the time until the process ends
   */
  public void beginStop(ShutdownWindow window) {
    shutdown = Optional.of(window);
  }

  /** Returns whether a request may be sent to an upstream, as far as a stop is concerned. */
  boolean maySend(ProxyExchange exchange) {
    return shutdown.isEmpty()
        || shutdown.get().allows(exchange.urgency(), exchange.kind(), System.nanoTime());
  }

  /** Returns whether the admission shares let a request of the given rank through. */
  boolean admits(UpstreamRecord upstream, RequestRank rank) {
    boolean isCurrent = System.nanoTime() - sharesReceivedNanos < MAX_SHARES_AGE.toNanos();
    return !isCurrent || shares.admits(upstream.id(), rank.admissionClass(), random.nextDouble());
  }

  /** Selects the upstream for a request. */
  UpstreamChoice selectUpstream(ProxyExchange exchange) {
    return routing.select(snapshot, exchange);
  }

  void awaitHandover(ProxyExchange exchange, long maxWaitNanos) {
    awaitingHandover.add(exchange);
    after(
        maxWaitNanos,
        () -> {
          if (awaitingHandover.remove(exchange)) {
            exchange.retryAfterHandover();
          }
        });
  }

  /** Lets a request wait for a share of its tenant's quota, in order of arrival. */
  void awaitQuota(ProxyExchange exchange, Duration maxWait) {
    awaitingQuota.add(exchange);
    after(
        maxWait.toNanos(),
        () -> {
          if (awaitingQuota.remove(exchange)) {
            exchange.quotaWaitEnded();
          }
        });
  }

  /** Decides about a request that waits for its tenant's quota; empty if it may be sent. */
  Optional<RequestAcceptance.Refused> acquireQuotaAgain(ProxyExchange exchange) {
    Optional<RequestAcceptance.Refused> refusal =
        exchange.tenant().flatMap(t -> acceptor.afterQuotaWait(t, System.nanoTime()));
    if (refusal.isEmpty()) {
      awaitingQuota.remove(exchange);
    }
    return refusal;
  }

  /** Decides whether a request is accepted, and by which route and service. */
  RequestAcceptance accept(CallerRequest request) {
    return acceptor.accept(snapshot, request, System.nanoTime());
  }

  /** Decides on the tenant of an accepted request by the configuration in force. */
  Authentication authenticate(CallerRequest request, Route route) {
    return acceptor.authenticate(snapshot, request, route, System.nanoTime());
  }

  /** Returns whether requests need an API key unless their route is public. */
  boolean requiresAuthentication() {
    return snapshot.configuration().tenants().requiresAuthentication();
  }

  /** Returns the rank of an accepted request. */
  RequestRank rank(Route route, Optional<Tenant> tenant) {
    return acceptor.rank(route, tenant, System.nanoTime());
  }

  TenantHeaders tenantHeaders() {
    return tenantHeaders;
  }

  /** Records a new request and its expected work. */
  void requestStarted(ProxyExchange exchange) {
    inProgress.add(exchange);
    retryBudget(exchange.service()).requestSeen(System.nanoTime());
    measurements.recordRequest(exchange);
  }

  private ServiceRetryBudget retryBudget(ServiceName service) {
    return retryBudgets.computeIfAbsent(
        service,
        s ->
            new ServiceRetryBudget(
                settings.retryBudget().ratio() * BUDGET_SHARE,
                settings.retryBudget().window(),
                System.nanoTime()));
  }

  boolean tryAcquireRetry(ServiceName service) {
    double retriesPerWindow =
        settings.retryBudget().retriesPerWindow() * BUDGET_SHARE / Math.max(1, snapshot.daemons());
    return retryBudget(service).tryAcquire(retriesPerWindow, System.nanoTime());
  }

  /** Records the end of a request. */
  void requestEnded(
      ProxyExchange exchange, UpstreamPool pool, int status, String reason, int tries) {
    inProgress.remove(exchange);
    awaitingQuota.remove(exchange);
    events.requestEnded(exchange, pool, status, reason, tries, snapshot.configuration().version());
  }

  private void closeExpiredConnections() {
    long now = System.nanoTime();
    pools.values().forEach(pool -> pool.closeExpiredConnections(now));
  }

  /**
   * Returns the load measured since the last call and starts a new sample.
   *
   * @return the sample
   */
  public LoadSample takeLoadSample() {
    return measurements.takeLoadSample();
  }

  /**
   * Returns the number of requests that have not ended.
   *
   * @return the number
   */
  public int requestsInProgress() {
    return inProgress.size();
  }

  TrafficEvents events() {
    return events;
  }

  TrafficMeasurements measurements() {
    return measurements;
  }

  TrafficSnapshot snapshot() {
    return snapshot;
  }

  GatewaySettings settings() {
    return settings;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  ImmutableSet<String> overwrittenHeaders() {
    return overwrittenHeaders;
  }

  EventLoop loop() {
    return loop;
  }

  ByteBufAllocator allocator() {
    return ByteBufAllocator.DEFAULT;
  }

  double random() {
    return random.nextDouble();
  }

  TimerService.Subscription after(long nanos, Runnable task) {
    return timers.after(Duration.ofNanos(Math.max(0, nanos)), task);
  }
}
