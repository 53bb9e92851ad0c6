package org.catkinlift.gateway.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformReservoir;
import java.time.Duration;
import java.util.Map;
import org.catkinlift.model.ServiceName;

/**
 * The counters and latency histograms of the daemon, rendered as one line per value. Thread-safe.
 */
public final class GatewayMetrics {
  private static final int RESERVOIR_SIZE = 256;

  private final MetricRegistry registry = new MetricRegistry();

  /**
   * Records the end of a request.
   *
   * @param route the route's name
   * @param status the status code of the response; 0 if the caller disconnected
   * @param durationNanos the time from the arrival of the request to its end
   */
  public void requestEnded(String route, int status, long durationNanos) {
    increment("requests." + route + "." + status);
    histogram("latency_ms." + route).update(Duration.ofNanos(durationNanos).toMillis());
  }

  /**
   * Counts a failure of an upstream.
   *
   * @param service the service of the upstream
   * @param failure the operation that failed, as part of the metric name
   */
  public void upstreamFailed(ServiceName service, String failure) {
    increment("upstream_failures." + service + "." + failure);
  }

  /**
   * Counts a new connection to an upstream.
   *
   * @param service the service of the upstream
   */
  public void connectionOpened(ServiceName service) {
    increment("upstream_connections." + service);
  }

  /**
   * Increments a counter.
   *
   * @param name the name of the counter
   */
  public void increment(String name) {
    Counter counter = registry.counter(name);
    counter.inc();
  }

  /**
   * Adds a counter to another one and removes it.
   *
   * @param name the name of the counter to remove
   * @param target the name of the counter that is increased
   */
  void moveCount(String name, String target) {
    registry.counter(target).inc(registry.counter(name).getCount());
    boolean unused = registry.remove(name);
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new UniformReservoir(RESERVOIR_SIZE)));
  }

  /**
   * Renders all metrics as text.
   *
   * @return one line for each value, with name and value separated by a space
   */
  public String render() {
    var out = new StringBuilder();
    registry.getCounters().forEach((name, counter) -> appendLine(out, name, counter.getCount()));
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      Snapshot values = entry.getValue().getSnapshot();
      appendLine(out, entry.getKey() + ".count", entry.getValue().getCount());
      appendLine(out, entry.getKey() + ".p50", values.getMedian());
      appendLine(out, entry.getKey() + ".p99", values.get99thPercentile());
      appendLine(out, entry.getKey() + ".max", values.getMax());
    }
    return out.toString();
  }

  private static void appendLine(StringBuilder out, String name, Object value) {
    out.append(name).append(' ').append(value).append('\n');
  }
}
