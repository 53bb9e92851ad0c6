package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.admission.UpstreamSelector;
import org.catkinlift.admission.ZonePreference;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.ranges.RangeAssignment;
import org.catkinlift.ranges.RangeMap;

/**
 * Selects the upstream of a request: the holder of its key, or the one with the lowest expected
 * latency if the service is not keyed. Confined to the traffic thread.
 */
final class UpstreamRouting {
  private final ZoneName zone;
  private final Map<UpstreamId, UpstreamPool> pools;
  private final TrafficMeasurements measurements;
  private final UpstreamSelector upstreamSelector;

  /** The upstreams that accept new work, by service; filled when a service is first used. */
  private final Map<ServiceName, List<Target>> targets = new HashMap<>();

  private record Target(UpstreamPool pool, boolean sameZone) {}

  /**
   * Creates the routing.
   *
   * @param zone the availability zone of this daemon
   * @param pools the current pools; changes of this map are seen
   * @param measurements the measured service times and response sizes
   * @param upstreamSelector chooses among equal upstreams
   */
  UpstreamRouting(
      ZoneName zone,
      Map<UpstreamId, UpstreamPool> pools,
      TrafficMeasurements measurements,
      UpstreamSelector upstreamSelector) {
    this.zone = zone;
    this.pools = Collections.unmodifiableMap(pools);
    this.measurements = measurements;
    this.upstreamSelector = upstreamSelector;
  }

  /** Must be called when the snapshot or the pools have changed. */
  void snapshotChanged() {
    targets.clear();
  }

  /** Selects the upstream for a request. */
  UpstreamChoice select(TrafficSnapshot snapshot, ProxyExchange exchange) {
    return snapshot.isKeyed(exchange.service())
        ? selectOwner(snapshot, exchange)
        : selectLeastLoaded(snapshot, exchange);
  }

  private UpstreamChoice selectOwner(TrafficSnapshot snapshot, ProxyExchange exchange) {
    RangeMap map = snapshot.rangeMaps().get(exchange.service());
    Optional<RangeAssignment> assignment =
        map == null ? Optional.empty() : map.find(exchange.key());
    if (assignment.isEmpty()) {
      return new UpstreamChoice.Unavailable("keys were never assigned");
    }
    if (assignment.get().isMoving()) {
      return isHandoverImminent(snapshot, assignment.get())
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
  private boolean isHandoverImminent(TrafficSnapshot snapshot, RangeAssignment assignment) {
    return assignment.previousHolders().stream()
        .allMatch(
            holder -> {
              UpstreamView view = snapshot.upstreams().get(holder.upstream());
              return view != null
                  && view.upstream().startedMillis() == holder.startedMillis()
                  && !pools.get(holder.upstream()).isSuspect(System.nanoTime());
            });
  }

  private UpstreamChoice selectLeastLoaded(TrafficSnapshot snapshot, ProxyExchange exchange) {
    long now = System.nanoTime();
    long zoneMarginNanos =
        ZonePreference.marginNanos(
            exchange.route().targetLatency(), measurements.typicalResponseBytes(exchange.route()));
    ImmutableSet<UpstreamId> possibleExecutors = exchange.possibleExecutors();
    List<UpstreamSelector.Candidate<UpstreamPool>> preferred = new ArrayList<>();
    List<UpstreamSelector.Candidate<UpstreamPool>> fallback = new ArrayList<>();
    for (Target target :
        targets.computeIfAbsent(exchange.service(), service -> targetsOf(snapshot, service))) {
      UpstreamPool pool = target.pool();
      var candidate =
          new UpstreamSelector.Candidate<>(
              pool,
              pool.expectedNanos(now),
              target.sameZone(),
              pool.hasIdleConnection(exchange, now));
      boolean avoid =
          pool.isSuspect(now)
              || !pool.isWithinRate(now)
              || possibleExecutors.contains(pool.upstream().id());
      (avoid ? fallback : preferred).add(candidate);
    }
    return upstreamSelector
        .choose(preferred.isEmpty() ? fallback : preferred, zoneMarginNanos)
        .<UpstreamChoice>map(UpstreamChoice.Selected::new)
        .orElseGet(() -> new UpstreamChoice.Unavailable("no upstream"));
  }

  private List<Target> targetsOf(TrafficSnapshot snapshot, ServiceName service) {
    return snapshot.upstreams().values().stream()
        .filter(view -> view.acceptsNewWork() && view.upstream().service().equals(service))
        .map(
            view ->
                new Target(pools.get(view.upstream().id()), view.upstream().zone().equals(zone)))
        .toList();
  }
}
