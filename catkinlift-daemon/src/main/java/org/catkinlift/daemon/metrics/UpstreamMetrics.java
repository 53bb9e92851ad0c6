package org.catkinlift.daemon.metrics;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;

/** The series of one upstream. Thread-safe. */
final class UpstreamMetrics {
  private final SettableGauge<Integer> queued;
  private final SettableGauge<Integer> inFlight;

  UpstreamMetrics(MetricRegistry registry, String upstream) {
    this.queued =
        registry.gauge(
            MetricDefinition.QUEUED.seriesName(upstream), () -> new DefaultSettableGauge<>(0));
    this.inFlight =
        registry.gauge(
            MetricDefinition.IN_FLIGHT.seriesName(upstream), () -> new DefaultSettableGauge<>(0));
  }

  void set(int newQueued, int newInFlight) {
    queued.setValue(newQueued);
    inFlight.setValue(newInFlight);
  }

  static void remove(MetricRegistry registry, String upstream) {
    registry.remove(MetricDefinition.QUEUED.seriesName(upstream));
    registry.remove(MetricDefinition.IN_FLIGHT.seriesName(upstream));
  }
}
