package org.catkinlift.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.base.Ascii;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;

/**
 * The series of one service, cached so that recording a request needs no registry lookup by name.
 * Thread-safe.
 */
final class ServiceMetrics {
  private static final String NO_CODE = "none";

  private final MetricRegistry registry;
  private final String service;
  private final Counter answered;
  private final Counter retries;
  private final Counter hedges;
  private final Counter relays;
  private final Timer latency;
  private final Map<RefusalCode, Counter> notRun = new ConcurrentHashMap<>();
  private final Map<RefusalCode, Counter> unknown = new ConcurrentHashMap<>();

  ServiceMetrics(MetricRegistry registry, String service) {
    this.registry = registry;
    this.service = service;
    this.answered = requests("answered", NO_CODE);
    this.retries = registry.counter(MetricDefinition.RETRIES.seriesName(service));
    this.hedges = registry.counter(MetricDefinition.HEDGES.seriesName(service));
    this.relays = registry.counter(MetricDefinition.RELAYS.seriesName(service));
    this.latency =
        registry.timer(
            MetricDefinition.REQUEST_SECONDS.seriesName(service),
            () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
  }

  /**
   * Counts a completed request.
   *
   * @param outcome the outcome of the request
   * @param duration the time from the arrival of the request to the end of its response
   */
  void requestCompleted(Outcome outcome, Duration duration) {
    counterOf(outcome).inc();
    latency.update(duration);
  }

  void requestRetried() {
    retries.inc();
  }

  void requestHedged() {
    hedges.inc();
  }

  void requestRelayed() {
    relays.inc();
  }

  private Counter counterOf(Outcome outcome) {
    return switch (outcome) {
      case Outcome.Answered a -> answered;
      case Outcome.NotRun n ->
          notRun.computeIfAbsent(n.code(), c -> requests("not-run", labelOf(c)));
      case Outcome.Unknown u ->
          unknown.computeIfAbsent(u.code(), c -> requests("unknown", labelOf(c)));
    };
  }

  private Counter requests(String outcome, String code) {
    return registry.counter(MetricDefinition.REQUESTS.seriesName(service, outcome, code));
  }

  private static String labelOf(RefusalCode code) {
    return Ascii.toLowerCase(code.name()).replace('_', '-');
  }
}
