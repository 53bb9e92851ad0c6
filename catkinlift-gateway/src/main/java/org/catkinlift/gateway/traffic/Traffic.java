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
import org.catkinlift.admission.UpstreamSelector;
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
 * What the requests of one daemon share: the snapshot in force, the ways to upstreams, budgets and
 * measurements. Confined to the traffic thread.
 */
public final class Traffic {
  /** Share of the site's budget that is used; the rest covers uneven traffic between daemons. */
  private static final double USED_BUDGET = 0.5;

  /** Older shares say nothing, because the coordinator may be lost. */
  private static final Duration SHARES_VALID_FOR = Duration.ofMillis(1_500);

  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final TimerService timers;
  private final GatewaySettings settings;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final SplittableRandom random;
  private final UpstreamSelector placement;
  private final ImmutableSet<String> ownHeaders;
  private final WeightedTargetSelector splits = new WeightedTargetSelector();
  private final Map<UpstreamId, UpstreamGate> gates = new HashMap<>();
  private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();
  private final TrafficMeasurements measurements = new TrafficMeasurements();
  private final Set<RequestFlow> waitingForOwner = new LinkedHashSet<>();

  private TrafficSnapshot snapshot = TrafficSnapshot.EMPTY;
  private AdmissionShares shares = AdmissionShares.ADMIT_ALL;
  private long sharesNanos;
  private int running;

  /**
   * Creates the state of the traffic thread.
   *
   * @param loop the traffic thread
   * @param timers its timers
   * @param settings the daemon's settings
   * @param log takes decisions
   * @param metrics takes counts
   * @param random decides between equals
   */
  public Traffic(
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
    this.placement = new UpstreamSelector(random.split());
    HeaderNames names = settings.headers();
    this.ownHeaders = ImmutableSet.of(names.deadlineMillis(), names.expectedUpstream());
    timers.every(SWEEP_INTERVAL, this::sweep);
  }

  /** The traffic since the last call. */
  public record Seen(
      ImmutableList<LoadReport.KeyWork> work,
      ImmutableMap<UpstreamId, LoadReport.WorkTimes> speeds) {}

  /**
   * Takes the next snapshot.
   *
   * @param next the snapshot
   */
  public void apply(TrafficSnapshot next) {
    snapshot = next;
    long now = System.nanoTime();
    for (UpstreamView view : next.upstreams().values()) {
      updateGate(view, now);
    }
    List<UpstreamGate> gone = new ArrayList<>();
    gates
        .values()
        .removeIf(
            gate -> {
              boolean unknown = !next.upstreams().containsKey(gate.upstream().id());
              if (unknown) {
                gone.add(gate);
              }
              return unknown;
            });
    gone.forEach(UpstreamGate::retire);
    List<RequestFlow> waiting = new ArrayList<>(waitingForOwner);
    waitingForOwner.clear();
    waiting.forEach(RequestFlow::ownersChanged);
  }

  private void updateGate(UpstreamView view, long nowNanos) {
    UpstreamRecord upstream = view.upstream();
    UpstreamGate gate = gates.get(upstream.id());
    if (gate != null && !isSamePlace(gate.upstream(), upstream)) {
      gates.remove(upstream.id());
      gate.retire();
      gate = null;
    }
    if (gate == null) {
      gate = new UpstreamGate(this, upstream, nowNanos);
      gates.put(upstream.id(), gate);
    }
    ServiceProfile profile = snapshot.configuration().services().get(upstream.service());
    double coldPerSecond = profile == null ? 0 : profile.coldRequestsPerSecond();
    gate.update(upstream, coldPerSecond, snapshot.daemons(), nowNanos);
    if (!view.isStaying() && !view.mayServeHeldKeys(nowNanos)) {
      gate.emptyLine();
    }
  }

  private static boolean isSamePlace(UpstreamRecord one, UpstreamRecord other) {
    return one.isSameIncarnation(other) && one.address().equals(other.address());
  }

  /**
   * Takes what overloaded upstreams can take.
   *
   * @param next the shares
   */
  public void apply(AdmissionShares next) {
    shares = next;
    sharesNanos = System.nanoTime();
  }

  /** Tells whether a request of some rank is among those that its upstream can take. */
  boolean admits(UpstreamRecord upstream, int priority) {
    boolean current = System.nanoTime() - sharesNanos < SHARES_VALID_FOR.toNanos();
    return !current || shares.admits(upstream.id(), priority, random.nextDouble());
  }

  /** Chooses where a request goes. */
  Placement choose(RequestFlow flow) {
    return isKeyed(snapshot, flow.service()) ? ownerOf(flow) : leastBusy(flow);
  }

  boolean isKeyed(TrafficSnapshot in, ServiceName service) {
    ServiceProfile profile = in.configuration().services().get(service);
    return profile != null && profile.keyed();
  }

  private Placement ownerOf(RequestFlow flow) {
    RangeMap map = snapshot.maps().get(flow.service());
    Optional<RangeAssignment> assignment = map == null ? Optional.empty() : map.find(flow.key());
    if (assignment.isEmpty()) {
      return new Placement.Nowhere("keys were never assigned");
    }
    if (assignment.get().isMoving()) {
      return movesSoon(assignment.get())
          ? new Placement.Moving()
          : new Placement.Nowhere("keys are still held elsewhere");
    }
    UpstreamView view = snapshot.upstreams().get(assignment.get().holder().upstream());
    UpstreamGate gate = gates.get(assignment.get().holder().upstream());
    if (view == null || gate == null) {
      return new Placement.Nowhere("owner has left");
    }
    boolean sameLife = view.upstream().startedMillis() == assignment.get().holder().startedMillis();
    if (!sameLife || !view.mayServeHeldKeys(System.nanoTime())) {
      return new Placement.Moving();
    }
    return new Placement.At(gate);
  }

  /** An earlier holder that is still listed answers its release soon. */
  private boolean movesSoon(RangeAssignment assignment) {
    return assignment.previousHolders().stream()
        .allMatch(
            p -> {
              UpstreamView view = snapshot.upstreams().get(p.upstream());
              return view != null
                  && view.upstream().startedMillis() == p.startedMillis()
                  && !gates.get(p.upstream()).isDoubtful(System.nanoTime());
            });
  }

  private Placement leastBusy(RequestFlow flow) {
    long now = System.nanoTime();
    List<UpstreamSelector.Candidate<UpstreamGate>> good = new ArrayList<>();
    List<UpstreamSelector.Candidate<UpstreamGate>> doubtful = new ArrayList<>();
    for (UpstreamView view : snapshot.upstreams().values()) {
      UpstreamRecord upstream = view.upstream();
      if (!upstream.service().equals(flow.service()) || !view.isStaying()) {
        continue;
      }
      UpstreamGate gate = gates.get(upstream.id());
      boolean sameZone = upstream.zone().equals(settings.zone());
      var option = new UpstreamSelector.Candidate<>(gate, gate.expectedNanos(now), sameZone);
      boolean avoid =
          gate.isDoubtful(now) || gate.isCold(now) || flow.triedUpstreams().contains(upstream.id());
      (avoid ? doubtful : good).add(option);
    }
    return placement
        .choose(good.isEmpty() ? doubtful : good)
        .<Placement>map(Placement.At::new)
        .orElseGet(() -> new Placement.Nowhere("no upstream"));
  }

  void waitForOwner(RequestFlow flow, long nanos) {
    waitingForOwner.add(flow);
    after(
        nanos,
        () -> {
          if (waitingForOwner.remove(flow)) {
            flow.ownersChanged();
          }
        });
  }

  ServiceName pickService(Route route) {
    return splits.next(route);
  }

  /** Counts a request and the work that it brings. */
  void requestSeen(RequestFlow flow) {
    running++;
    budget(flow.service()).requestSeen(System.nanoTime());
    measurements.requestSeen(flow);
  }

  private ServiceRetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(
        service,
        s ->
            new ServiceRetryBudget(
                settings.repeats().ratio() * USED_BUDGET,
                settings.repeats().window(),
                System.nanoTime()));
  }

  boolean mayRepeat(ServiceName service) {
    double slack = settings.repeats().slack() * USED_BUDGET / Math.max(1, snapshot.daemons());
    return budget(service).tryAcquire(slack, System.nanoTime());
  }

  /** Takes the end of a request. */
  void requestEnded(RequestFlow flow, UpstreamGate gate, int status, String reason, int tries) {
    long took = System.nanoTime() - flow.request().receivedNanos();
    String route = flow.route() == null ? "none" : flow.route().name();
    if (flow.urgency() != null) {
      running--;
    }
    metrics.requestEnded(route, status, took);
    EventCode code =
        switch (status / 100) {
          case 2 -> EventCode.REQUEST_ANSWERED;
          case 0 -> EventCode.REQUEST_CANCELLED;
          case 5 -> status == 503 ? EventCode.REQUEST_REFUSED : EventCode.REQUEST_UNKNOWN;
          default -> EventCode.REQUEST_REFUSED;
        };
    ImmutableMap.Builder<String, Object> fields = ImmutableMap.builder();
    fields.put("request", flow.request().id()).put("route", route).put("status", status);
    fields.put("took_ms", took / 1_000_000).put("tries", tries).put("reason", reason);
    if (flow.key() != RequestFlow.NO_KEY) {
      fields.put("key", flow.key());
    }
    if (gate != null) {
      fields.put("upstream", gate.upstream().id()).put("queue", gate.waiting());
    }
    fields.put("configuration", snapshot.configuration().version());
    log.log(code, fields.buildOrThrow());
  }

  void malformed(int status, String reason) {
    metrics.requestEnded("malformed", status, 0);
    log.log(EventCode.REQUEST_REFUSED, ImmutableMap.of("status", status, "reason", reason));
  }

  void upstreamFailed(UpstreamRecord upstream, String during, String reason) {
    metrics.upstreamFailed(upstream.service(), during);
    log.log(
        EventCode.UPSTREAM_FAILED,
        ImmutableMap.of("upstream", upstream.id(), "during", during, "reason", reason));
  }

  void upstreamRefused(RequestFlow flow, UpstreamRecord upstream, int status) {
    metrics.upstreamFailed(upstream.service(), "refused-" + status);
    log.log(
        EventCode.UPSTREAM_REFUSED,
        ImmutableMap.of(
            "request", flow.request().id(), "upstream", upstream.id(), "status", status));
  }

  void strayAnswer(UpstreamRecord upstream, String strayId, String expectedId) {
    log.log(
        EventCode.ANSWER_DROPPED,
        ImmutableMap.of("upstream", upstream.id(), "answer_to", strayId, "request", expectedId));
  }

  private void sweep() {
    long now = System.nanoTime();
    gates.values().forEach(g -> g.sweep(now));
  }

  /**
   * Returns the traffic since the last call and forgets it.
   *
   * @return the traffic
   */
  public Seen takeSeen() {
    return measurements.takeSeen();
  }

  /**
   * Returns the number of requests that have no answer yet.
   *
   * @return the number
   */
  public int running() {
    return running;
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

  ImmutableSet<String> ownHeaders() {
    return ownHeaders;
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
