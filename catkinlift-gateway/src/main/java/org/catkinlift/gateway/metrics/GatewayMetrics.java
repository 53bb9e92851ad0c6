package org.catkinlift.gateway.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformReservoir;
import java.time.Duration;
import java.util.Map;
import org.catkinlift.model.ServiceName;

/** Counts what the daemon does and prints it as text, one metric a line. Thread-safe. */
public final class GatewayMetrics {
  private static final int SAMPLES = 256;

  private final MetricRegistry registry = new MetricRegistry();

  /**
   * Counts the end of a request.
   *
   * @param route the route's name
   * @param status the status code of the answer; 0 if the caller left
   * @param nanos from its arrival to its end
   */
  public void requestEnded(String route, int status, long nanos) {
    count("requests." + route + "." + status);
    histogram("latency_ms." + route).update(Duration.ofNanos(nanos).toMillis());
  }

  /**
   * Counts a failure of an upstream.
   *
   * @param service its service
   * @param during what failed
   */
  public void upstreamFailed(ServiceName service, String during) {
    count("upstream_failures." + service + "." + during);
  }

  /**
   * Counts a new connection to an upstream.
   *
   * @param service its service
   */
  public void connectionOpened(ServiceName service) {
    count("upstream_connections." + service);
  }

  /**
   * Counts something.
   *
   * @param name the metric
   */
  public void count(String name) {
    Counter counter = registry.counter(name);
    counter.inc();
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new UniformReservoir(SAMPLES)));
  }

  /**
   * Prints all metrics.
   *
   * @return one line for each value
   */
  public String print() {
    var text = new StringBuilder();
    registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      Snapshot values = entry.getValue().getSnapshot();
      line(text, entry.getKey() + ".count", entry.getValue().getCount());
      line(text, entry.getKey() + ".p50", values.getMedian());
      line(text, entry.getKey() + ".p99", values.get99thPercentile());
      line(text, entry.getKey() + ".max", values.getMax());
    }
    return text.toString();
  }

  private static void line(StringBuilder text, String name, Object value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
