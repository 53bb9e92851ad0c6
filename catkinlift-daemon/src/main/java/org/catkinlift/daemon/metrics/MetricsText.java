package org.catkinlift.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;

/** Formats a metric registry in the Prometheus text format, version 0.0.4. */
public final class MetricsText {
  /** The content type of the text format. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final double NANOS_PER_SECOND = 1e9;

  private MetricsText() {}

  /**
   * Formats the declared metrics of a registry.
   *
   * @param registry the registry
   * @return the text, with metrics in the order of {@link MetricDefinition} and series sorted by
   *     name
   */
  public static String format(MetricRegistry registry) {
    var series = ImmutableSortedMap.copyOf(registry.getMetrics());
    var text = new StringBuilder();
    for (MetricDefinition definition : MetricDefinition.values()) {
      appendMetric(text, definition, series);
    }
    return text.toString();
  }

  private static void appendMetric(
      StringBuilder text, MetricDefinition definition, ImmutableMap<String, Metric> series) {
    String name = definition.metricName();
    text.append("# HELP ").append(name).append(' ').append(definition.help()).append('\n');
    text.append("# TYPE ").append(name).append(' ');
    text.append(Ascii.toLowerCase(definition.type().name())).append('\n');
    series.forEach(
        (key, metric) -> {
          if (metricNameOf(key).equals(name)) {
            appendSeries(text, key, metric);
          }
        });
  }

  private static void appendSeries(StringBuilder text, String key, Metric metric) {
    if (metric instanceof Counter counter) {
      appendLine(text, key, counter.getCount());
    } else if (metric instanceof Gauge<?> gauge) {
      appendLine(text, key, gauge.getValue());
    } else if (metric instanceof Timer timer) {
      appendTimer(text, key, timer);
    }
  }

  private static void appendTimer(StringBuilder text, String key, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    appendQuantile(text, key, "0.5", snapshot.getMedian());
    appendQuantile(text, key, "0.95", snapshot.get95thPercentile());
    appendQuantile(text, key, "0.99", snapshot.get99thPercentile());
    appendQuantile(text, key, "0.999", snapshot.get999thPercentile());
    String metricName = metricNameOf(key);
    appendLine(text, metricName + "_count" + key.substring(metricName.length()), timer.getCount());
  }

  private static void appendQuantile(
      StringBuilder text, String key, String quantile, double nanos) {
    String labels = key.substring(0, key.length() - 1);
    String name = labels + ",quantile=\"" + quantile + "\"}";
    appendLine(text, name, nanos / NANOS_PER_SECOND);
  }

  private static void appendLine(StringBuilder text, String name, Object value) {
    text.append(name).append(' ').append(value).append('\n');
  }

  private static String metricNameOf(String key) {
    int brace = key.indexOf('{');
    return brace < 0 ? key : key.substring(0, brace);
  }
}
