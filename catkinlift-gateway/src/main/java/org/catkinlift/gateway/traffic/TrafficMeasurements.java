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

/**
 * Measures how long upstreams work and which keys bring the work. Confined to the traffic thread.
 */
final class TrafficMeasurements {
  private static final Duration FIRST_SERVICE_TIME = Duration.ofMillis(120);
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private final Map<ServiceName, ServiceTimeEstimate> serviceTimes = new HashMap<>();
  private final Map<String, ServiceTimeEstimate> routeTimes = new HashMap<>();
  private final Map<String, Long> longestDeadlines = new HashMap<>();
  private List<LoadReport.KeyWork> work = new ArrayList<>();
  private Map<UpstreamId, LoadReport.WorkTimes> speeds = new HashMap<>();

  /** Counts the work that a request brings. */
  void requestSeen(RequestFlow flow) {
    if (flow.key() != RequestFlow.NO_KEY) {
      double seconds = routeTime(flow.route()).expectedNanos() / SECOND_NANOS;
      work.add(
          new LoadReport.KeyWork(flow.service(), flow.key(), flow.urgency().priority(), seconds));
    }
  }

  /**
   * Takes how long an upstream took for an answer.
   *
   * @param hadQueue whether requests waited at the upstream; the time then says little about its
   *     speed
   */
  void answered(RequestFlow flow, UpstreamId upstream, long nanos, boolean hadQueue) {
    if (hadQueue) {
      return;
    }
    double usual = routeTime(flow.route()).expectedNanos() / SECOND_NANOS;
    speeds.merge(
        upstream,
        new LoadReport.WorkTimes(nanos / SECOND_NANOS, usual),
        LoadReport.WorkTimes::plus);
    serviceTime(flow.service()).addSample(nanos);
    routeTime(flow.route()).addSample(nanos);
  }

  /**
   * Returns how long the caller has waited in earlier attempts. Callers state what is left of their
   * time, so the longest time that was ever stated on a route is that of first attempts.
   */
  long elapsedBefore(Route route, OptionalLong deadlineMillis) {
    if (deadlineMillis.isEmpty()) {
      return 0;
    }
    long longest = longestDeadlines.merge(route.name(), deadlineMillis.getAsLong(), Math::max);
    return Duration.ofMillis(longest - deadlineMillis.getAsLong()).toNanos();
  }

  /** Returns how long an upstream of a service is expected to work on a request. */
  long serviceNanos(ServiceName service) {
    return serviceTime(service).expectedNanos();
  }

  private ServiceTimeEstimate serviceTime(ServiceName service) {
    return serviceTimes.computeIfAbsent(
        service, s -> new ServiceTimeEstimate(FIRST_SERVICE_TIME.toNanos()));
  }

  private ServiceTimeEstimate routeTime(Route route) {
    return routeTimes.computeIfAbsent(
        route.name(), r -> new ServiceTimeEstimate(FIRST_SERVICE_TIME.toNanos()));
  }

  /** Returns the traffic since the last call and forgets it. */
  Traffic.Seen takeSeen() {
    var seen = new Traffic.Seen(ImmutableList.copyOf(work), ImmutableMap.copyOf(speeds));
    work = new ArrayList<>();
    speeds = new HashMap<>();
    return seen;
  }
}
