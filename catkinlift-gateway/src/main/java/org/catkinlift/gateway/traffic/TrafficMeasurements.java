package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.catkinlift.admission.ServiceTimeEstimate;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routes.Route;

/** Measures the service times of upstreams and the work per key. Confined to the traffic thread. */
final class TrafficMeasurements {
  private static final Duration INITIAL_SERVICE_TIME = Duration.ofMillis(120);
  private static final double BYTES_SMOOTHING_FACTOR = 0.05;
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final Map<ServiceName, ServiceTimeEstimate> serviceTimes = new HashMap<>();
  private final Map<String, ServiceTimeEstimate> routeTimes = new HashMap<>();
  private final Map<String, Double> responseBytes = new HashMap<>();
  private final Map<String, Long> longestDeadlines = new HashMap<>();
  private List<LoadReport.KeyWork> keyWork = new ArrayList<>();
  private Map<UpstreamId, LoadReport.WorkTimes> workTimes = new HashMap<>();

  /** Records the expected work of a keyed request. */
  void recordRequest(ProxyExchange exchange) {
    if (exchange.key() != RequestAcceptance.NO_KEY) {
      double expectedSeconds = routeTime(exchange.route()).expectedNanos() / NANOS_PER_SECOND;
      keyWork.add(
          new LoadReport.KeyWork(
              exchange.service(),
              exchange.key(),
              exchange.urgency().rank().admissionClass(),
              expectedSeconds));
    }
  }

  /** Records the service time of a request that did not wait in the queue of its upstream. */
  void recordServiceTime(ProxyExchange exchange, UpstreamId upstream, long durationNanos) {
    double expectedSeconds = routeTime(exchange.route()).expectedNanos() / NANOS_PER_SECOND;
    workTimes.merge(
        upstream,
        new LoadReport.WorkTimes(durationNanos / NANOS_PER_SECOND, expectedSeconds),
        LoadReport.WorkTimes::plus);
    serviceTime(exchange.service()).addSample(durationNanos);
    routeTime(exchange.route()).addSample(durationNanos);
  }

  /** Records the size of the body of a response. */
  void recordResponseBytes(Route route, long bytes) {
    responseBytes.merge(
        route.name(), (double) bytes, (mean, b) -> mean + BYTES_SMOOTHING_FACTOR * (b - mean));
  }

  /** Returns the expected size of the body of a response, in bytes. */
  double typicalResponseBytes(Route route) {
    return responseBytes.getOrDefault(route.name(), 0.0);
  }

  /**
   * Returns how long the caller has waited in earlier attempts. Callers state the remaining time,
   * so the longest time stated so far on a route is taken as that of a first attempt.
   */
  long elapsedInEarlierAttempts(Route route, OptionalLong deadlineMillis) {
    if (deadlineMillis.isEmpty()) {
      return 0;
    }
    long longest = longestDeadlines.merge(route.name(), deadlineMillis.getAsLong(), Math::max);
    return Duration.ofMillis(longest - deadlineMillis.getAsLong()).toNanos();
  }

  /** Returns the expected service time of a request at any upstream of the service. */
  long typicalServiceNanos(ServiceName service) {
    return serviceTime(service).expectedNanos();
  }

  /** Returns the expected service time of a request on a route. */
  long typicalServiceNanos(Route route) {
    return routeTime(route).expectedNanos();
  }

  private ServiceTimeEstimate serviceTime(ServiceName service) {
    return serviceTimes.computeIfAbsent(
        service, s -> new ServiceTimeEstimate(INITIAL_SERVICE_TIME.toNanos()));
  }

  private ServiceTimeEstimate routeTime(Route route) {
    return routeTimes.computeIfAbsent(
        route.name(), r -> new ServiceTimeEstimate(INITIAL_SERVICE_TIME.toNanos()));
  }

  /** Returns the load measured since the last call and starts a new sample. */
  ReverseProxy.LoadSample takeLoadSample() {
    var sample =
        new ReverseProxy.LoadSample(ImmutableList.copyOf(keyWork), ImmutableMap.copyOf(workTimes));
    keyWork = new ArrayList<>();
    workTimes = new HashMap<>();
    return sample;
  }
}
