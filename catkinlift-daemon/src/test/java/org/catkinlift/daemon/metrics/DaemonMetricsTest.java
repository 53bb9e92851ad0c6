package org.catkinlift.daemon.metrics;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ascii;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.catkinlift.daemon.DocTables;
import org.catkinlift.daemon.metrics.DaemonMetrics.PlatformResult;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class DaemonMetricsTest {
  private static final ServiceName DESK = ServiceName.of("order-desk");
  private static final UpstreamId UPSTREAM = UpstreamId.of("desk-01");

  private final MetricRegistry registry = new MetricRegistry();
  private final AtomicLong nanos = new AtomicLong();
  private final DaemonMetrics metrics = new DaemonMetrics(registry, nanos::get);

  private ImmutableList<String> lines() {
    return MetricsText.format(registry).lines().collect(toImmutableList());
  }

  /** Guards against wrong names, labels or values of series. */
  @Test
  void printsRecordedValues() {
    var queueFull = Outcome.notRun(RefusalCode.QUEUE_FULL, Duration.ofSeconds(1));
    metrics.requestCompleted(DESK, new Outcome.Answered(), Duration.ofMillis(20));
    metrics.requestCompleted(DESK, queueFull, Duration.ofMillis(20));
    metrics.requestRetried(DESK);
    metrics.setUpstreamLoad(UPSTREAM, 3, 4);
    metrics.setAuthority(true);
    metrics.setConfiguration(7, Optional.of(Duration.ofMillis(500)));
    metrics.setConfiguration(7, Optional.empty());
    metrics.platformCalled("read", PlatformResult.FAILED);
    nanos.set(2_500_000_000L);
    assertThat(lines())
        .containsAtLeast(
            "# TYPE catkinlift_requests_total counter",
            "catkinlift_requests_total{service=\"order-desk\",outcome=\"answered\",code=\"none\"} 1",
            "catkinlift_requests_total{service=\"order-desk\",outcome=\"not-run\",code=\"queue-full\"} 1",
            "catkinlift_request_seconds{service=\"order-desk\",quantile=\"0.99\"} 0.02",
            "catkinlift_request_seconds_count{service=\"order-desk\"} 2",
            "catkinlift_retries_total{service=\"order-desk\"} 1",
            "catkinlift_upstream_queued{upstream=\"desk-01\"} 3",
            "catkinlift_upstream_in_flight{upstream=\"desk-01\"} 4",
            "catkinlift_authority 1",
            "catkinlift_configuration_version 7",
            "catkinlift_configuration_age_seconds 3.0",
            "catkinlift_platform_calls_total{call=\"read\",result=\"failed\"} 1");
  }

  /**
   * Guards against an unbounded number of series, one for each unknown service name that callers
   * send.
   */
  @Test
  void countsUnknownServicesUnderOneLabel() {
    var outcome = Outcome.notRun(RefusalCode.UNKNOWN_SERVICE, Duration.ZERO);
    metrics.requestCompleted(ServiceName.of("invented-1"), outcome, Duration.ZERO);
    metrics.requestCompleted(ServiceName.of("invented-2"), outcome, Duration.ZERO);
    assertThat(Joiner.on('\n').join(lines())).doesNotContain("invented");
    assertThat(lines())
        .contains(
            "catkinlift_requests_total{service=\"none\",outcome=\"not-run\",code=\"unknown-service\"} 2");
  }

  /** Guards against series that remain after the upstream moved to another dispatcher. */
  @Test
  void removesSeriesOfRemovedUpstream() {
    metrics.setUpstreamLoad(UPSTREAM, 3, 4);
    metrics.removeUpstream(UPSTREAM);
    assertThat(Joiner.on('\n').join(lines())).doesNotContain("desk-01");
    metrics.setUpstreamLoad(UPSTREAM, 1, 0);
    assertThat(lines()).contains("catkinlift_upstream_queued{upstream=\"desk-01\"} 1");
  }

  /** Guards against undocumented metrics and documented metrics that do not exist. */
  @Test
  void pageListsExactlyTheDeclaredMetrics() throws IOException {
    var declared =
        Arrays.stream(MetricDefinition.values())
            .map(DaemonMetricsTest::documented)
            .collect(toImmutableList());
    assertThat(
            DocTables.rows("metrics.md").stream()
                .map(row -> row.subList(0, 4))
                .collect(toImmutableList()))
        .containsExactlyElementsIn(declared)
        .inOrder();
  }

  private static ImmutableList<String> documented(MetricDefinition metric) {
    String labels = metric.labels().isEmpty() ? "–" : Joiner.on(", ").join(metric.labels());
    return ImmutableList.of(
        metric.metricName(), Ascii.toLowerCase(metric.type().name()), labels, metric.help());
  }
}
