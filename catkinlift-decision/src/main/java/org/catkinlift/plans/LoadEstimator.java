package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/**
 * Estimates the number of requests in flight and queued of each upstream.
 *
 * <p>A daemon receives the load of its own upstreams and, as the coordinator, that of its cell, and
 * keeps an exponentially decaying average of it. Other upstreams of a service are assumed to have
 * the mean utilization of the known ones, because callers are spread over all availability zones.
 */
final class LoadEstimator {
  private static final Duration HALF_LIFE = Duration.ofSeconds(30);
  private static final Duration MAX_SAMPLE_AGE = Duration.ofSeconds(60);

  private record Average(double inFlight, long atNanos) {}

  private final Map<UpstreamId, Average> averages = new HashMap<>();

  void addSamples(ImmutableList<UpstreamLoad> loads, long nowNanos) {
    loads.forEach(l -> averages.merge(l.upstream(), sample(l, nowNanos), LoadEstimator::average));
  }

  private static Average sample(UpstreamLoad load, long nowNanos) {
    return new Average(load.inFlight() + load.queued(), nowNanos);
  }

  private static Average average(Average before, Average sample) {
    double halfLives = (double) (sample.atNanos() - before.atNanos()) / HALF_LIFE.toNanos();
    double weight = Math.pow(0.5, halfLives);
    return new Average(
        weight * before.inFlight() + (1 - weight) * sample.inFlight(), sample.atNanos());
  }

  /**
   * Returns the estimated load of all upstreams of a configuration. The estimate is 0 for services
   * without any recent sample.
   */
  ImmutableMap<UpstreamId, Double> estimate(Configuration configuration, long nowNanos) {
    averages.values().removeIf(a -> nowNanos - a.atNanos() > MAX_SAMPLE_AGE.toNanos());
    var loads = new HashMap<UpstreamId, Double>();
    configuration.services().values().forEach(s -> loads.putAll(loadsOf(s)));
    return ImmutableMap.copyOf(loads);
  }

  private Map<UpstreamId, Double> loadsOf(ServiceDefinition service) {
    double knownLoad = 0;
    double knownLimit = 0;
    for (UpstreamDefinition upstream : service.upstreams()) {
      Average average = averages.get(upstream.id());
      knownLoad += average == null ? 0 : average.inFlight();
      knownLimit += average == null ? 0 : upstream.concurrencyLimit();
    }
    double utilization = knownLimit == 0 ? 0 : knownLoad / knownLimit;
    var loads = new HashMap<UpstreamId, Double>();
    for (UpstreamDefinition upstream : service.upstreams()) {
      Average average = averages.get(upstream.id());
      loads.put(
          upstream.id(),
          average == null ? utilization * upstream.concurrencyLimit() : average.inFlight());
    }
    return loads;
  }
}
