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
import org.catkinlift.admission.ServiceRetryBudget;
import org.catkinlift.admission.ShutdownWindow;
import org.catkinlift.admission.UpstreamSelector;
import org.catkinlift.admission.ZonePreference;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.metrics.GatewayMetrics;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.RangeAssignment;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.routes.Route;
import org.catkinlift.routes.ServiceProfile;
import org.catkinlift.routes.WeightedTargetSelector;
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
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final SplittableRandom random;
  private final UpstreamSelector upstreamSelector;
  private final ImmutableSet<String> overwrittenHeaders;
  private final WeightedTargetSelector targetSelector = new WeightedTargetSelector();
  private final Map<UpstreamId, UpstreamPool> pools = new HashMap<>();
  private final Map<ServiceName, ServiceRetryBudget> retryBudgets = new HashMap<>();
  private final TrafficMeasurements measurements = new TrafficMeasurements();
  private final Set<ProxyExchange> awaitingHandover = new LinkedHashSet<>();

  private TrafficSnapshot snapshot = TrafficSnapshot.EMPTY;
  private AdmissionShares shares = AdmissionShares.ADMIT_ALL;
  private long sharesReceivedNanos;
  private int requestsInProgress;
  private Optional<ShutdownWindow> shutdown = Optional.empty();

  /**
   * Creates the proxy.
   *
   * @param loop the traffic thread
   * @param timers the timers of the traffic thread
   * @param settings the daemon's settings
   * @param log the event log
   * @param metrics the daemon's metrics
   * @param random the source of random numbers for upstream selection, admission and retry delays
   */
  public ReverseProxy(
      EventLoop loop,
      TimerService timers,
      GatewaySettings settings,
      EventLog log,
      GatewayMetrics metrics,
      SplittableRandom random) {
    this.loop = loop;
    this.timers = timers;
    this.settings = settings;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
    this.upstreamSelector = new UpstreamSelector(random.split());
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
      ImmutableMap<UpstreamId, LoadReport.WorkTimes> workTimes) {}

  /**
   * Applies a snapshot.
   *
   * @param next the new snapshot
   */
  public void apply(TrafficSnapshot next) {
    snapshot = next;
    long now = System.nanoTime();
    for (UpstreamView view : next.upstreams().values()) {
      updatePool(view, now);
    }
    List<UpstreamPool> removed = new ArrayList<>();
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
    removed.forEach(UpstreamPool::retire);
    List<ProxyExchange> waiting = new ArrayList<>(awaitingHandover);
    awaitingHandover.clear();
    waiting.forEach(ProxyExchange::retryAfterHandover);
  }

  private void updatePool(UpstreamView view, long nowNanos) {
    UpstreamRecord upstream = view.upstream();
    UpstreamPool pool = pools.get(upstream.id());
    if (pool != null && !isSameEndpoint(pool.upstream(), upstream)) {
      pools.remove(upstream.id());
      pool.retire();
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

  /** Returns whether the admission shares let a request of the given priority through. */
  boolean admits(UpstreamRecord upstream, int priority) {
    boolean isCurrent = System.nanoTime() - sharesReceivedNanos < MAX_SHARES_AGE.toNanos();
    return !isCurrent || shares.admits(upstream.id(), priority, random.nextDouble());
  }

  /** Selects the upstream for a request. */
  UpstreamChoice selectUpstream(ProxyExchange exchange) {
    return isKeyed(snapshot, exchange.service())
        ? selectOwner(exchange)
        : selectLeastLoaded(exchange);
  }

  boolean isKeyed(TrafficSnapshot current, ServiceName service) {
    ServiceProfile profile = current.configuration().services().get(service);
    return profile != null && profile.keyed();
  }

  private UpstreamChoice selectOwner(ProxyExchange exchange) {
    RangeMap map = snapshot.rangeMaps().get(exchange.service());
    Optional<RangeAssignment> assignment =
        map == null ? Optional.empty() : map.find(exchange.key());
    if (assignment.isEmpty()) {
      return new UpstreamChoice.Unavailable("keys were never assigned");
    }
    if (assignment.get().isMoving()) {
      return isHandoverImminent(assignment.get())
          ? new UpstreamChoice.HandoverPending()
          : new UpstreamChoice.Unavailable("keys are still held elsewhere");
    }
    UpstreamView view = snapshot.upstreams().get(assignment.get().holder().upstream());
    UpstreamPool pool = pools.get(assignment.get().holder().upstream());
    if (view == null || pool == null) {
      return new UpstreamChoice.Unavailable("owner has left");
    }
    boolean sameIncarnation =
        view.upstream().startedMillis() == assignment.get().holder().startedMillis();
    if (!sameIncarnation || !view.mayServeHeldKeys(System.nanoTime())) {
      return new UpstreamChoice.HandoverPending();
    }
    return new UpstreamChoice.Selected(pool);
  }

  /**
   * Returns whether all previous holders are listed and responsive, so that they can be expected to
   * answer the release of their keys soon.
   */
  private boolean isHandoverImminent(RangeAssignment assignment) {
    return assignment.previousHolders().stream()
        .allMatch(
            holder -> {
              UpstreamView view = snapshot.upstreams().get(holder.upstream());
              return view != null
                  && view.upstream().startedMillis() == holder.startedMillis()
                  && !pools.get(holder.upstream()).isSuspect(System.nanoTime());
            });
  }

  private UpstreamChoice selectLeastLoaded(ProxyExchange exchange) {
    long now = System.nanoTime();
    long zoneMarginNanos =
        ZonePreference.marginNanos(
            exchange.route().targetLatency(), measurements.typicalResponseBytes(exchange.route()));
    ImmutableSet<UpstreamId> possibleExecutors = exchange.possibleExecutors();
    List<UpstreamSelector.Candidate<UpstreamPool>> preferred = new ArrayList<>();
    List<UpstreamSelector.Candidate<UpstreamPool>> fallback = new ArrayList<>();
    for (UpstreamView view : snapshot.upstreams().values()) {
      UpstreamRecord upstream = view.upstream();
      if (!upstream.service().equals(exchange.service()) || !view.acceptsNewWork()) {
        continue;
      }
      UpstreamPool pool = pools.get(upstream.id());
      boolean sameZone = upstream.zone().equals(settings.zone());
      var candidate =
          new UpstreamSelector.Candidate<>(
              pool, pool.expectedNanos(now), sameZone, pool.hasIdleConnection(now));
      boolean avoid =
          pool.isSuspect(now) || pool.isCold(now) || possibleExecutors.contains(upstream.id());
      (avoid ? fallback : preferred).add(candidate);
    }
    return upstreamSelector
        .choose(preferred.isEmpty() ? fallback : preferred, zoneMarginNanos)
        .<UpstreamChoice>map(UpstreamChoice.Selected::new)
        .orElseGet(() -> new UpstreamChoice.Unavailable("no upstream"));
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

  ServiceName selectService(Route route) {
    return targetSelector.next(route);
  }

  /** Records a new request and its expected work. */
  void requestStarted(ProxyExchange exchange) {
    requestsInProgress++;
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

  /** Records the end of a request in metrics and the event log. */
  void requestEnded(
      ProxyExchange exchange, UpstreamPool pool, int status, String reason, int tries) {
    long durationNanos = System.nanoTime() - exchange.request().receivedNanos();
    String route = exchange.route() == null ? "none" : exchange.route().name();
    if (exchange.urgency() != null) {
      requestsInProgress--;
    }
    metrics.requestEnded(route, status, durationNanos);
    EventCode code =
        switch (status / 100) {
          case 2 -> EventCode.REQUEST_ANSWERED;
          case 0 -> EventCode.REQUEST_CANCELLED;
          case 5 -> status == 503 ? EventCode.REQUEST_REFUSED : EventCode.REQUEST_UNKNOWN;
          default -> EventCode.REQUEST_REFUSED;
        };
    ImmutableMap.Builder<String, Object> fields = ImmutableMap.builder();
    fields.put("request", exchange.request().id()).put("route", route).put("status", status);
    fields.put("took_ms", durationNanos / 1_000_000).put("tries", tries).put("reason", reason);
    if (exchange.key() != ProxyExchange.NO_KEY) {
      fields.put("key", exchange.key());
    }
    if (pool != null) {
      fields.put("upstream", pool.upstream().id()).put("queue", pool.queued());
    }
    fields.put("configuration", snapshot.configuration().version());
    log.log(code, fields.buildOrThrow());
  }

  /** Records that another attempt follows one that reached an upstream in vain. */
  void requestRetried(ProxyExchange exchange, UpstreamRecord upstream, String reason) {
    ImmutableMap.Builder<String, Object> fields = ImmutableMap.builder();
    fields.put("request", exchange.request().id()).put("upstream", upstream.id());
    if (exchange.key() != ProxyExchange.NO_KEY) {
      fields.put("key", exchange.key());
    }
    log.log(EventCode.REQUEST_RETRIED, fields.put("reason", reason).buildOrThrow());
  }

  void malformedRequest(int status, String reason) {
    metrics.requestEnded("malformed", status, 0);
    log.log(EventCode.REQUEST_REFUSED, ImmutableMap.of("status", status, "reason", reason));
  }

  void upstreamFailed(UpstreamRecord upstream, String phase, String reason) {
    metrics.upstreamFailed(upstream.service(), phase);
    log.log(
        EventCode.UPSTREAM_FAILED,
        ImmutableMap.of("upstream", upstream.id(), "during", phase, "reason", reason));
  }

  void unexpectedBytes(UpstreamRecord upstream, String reason, String requestId) {
    metrics.upstreamFailed(upstream.service(), "bytes");
    log.log(
        EventCode.UNEXPECTED_BYTES,
        ImmutableMap.of("upstream", upstream.id(), "reason", reason, "request", requestId));
  }

  void upstreamRefused(ProxyExchange exchange, UpstreamRecord upstream, int status) {
    metrics.upstreamFailed(upstream.service(), "refused-" + status);
    log.log(
        EventCode.UPSTREAM_REFUSED,
        ImmutableMap.of(
            "request", exchange.request().id(), "upstream", upstream.id(), "status", status));
  }

  void responseMismatched(UpstreamRecord upstream, String receivedId, String expectedId) {
    log.log(
        EventCode.ANSWER_DROPPED,
        ImmutableMap.of("upstream", upstream.id(), "answer_to", receivedId, "request", expectedId));
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
    return requestsInProgress;
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
