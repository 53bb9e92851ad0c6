package org.catkinlift.daemon.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/** Records the metrics of the daemon. Thread-safe. */
public final class DaemonMetrics {
  /**
   * Replaces the service label of requests without a known service, because callers could otherwise
   * create an unbounded number of series.
   */
  private static final String NO_SERVICE = "none";

  private static final ImmutableSet<RefusalCode> CODES_WITHOUT_SERVICE =
      ImmutableSet.of(RefusalCode.BAD_REQUEST, RefusalCode.UNKNOWN_SERVICE);
  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry;
  private final LongSupplier nanoClock;
  private final Map<String, ServiceMetrics> services = new ConcurrentHashMap<>();
  private final Map<UpstreamId, UpstreamMetrics> upstreams = new ConcurrentHashMap<>();
  private volatile boolean hasAuthority;
  private volatile long configurationVersion;
  private volatile long configurationConfirmedNanos;

  /** The result of a platform call. */
  public enum PlatformResult {
    /** The platform executed the call. */
    OK,
    /** The platform rejected a write because one of its conditions does not hold. */
    CONFLICT,
    /** The platform did not reply; a write may have taken effect. */
    FAILED
  }

  /**
   * Creates the metrics and registers the series without labels.
   *
   * @param registry holds the series
   * @param nanoClock provides monotonic time in nanoseconds
   */
  public DaemonMetrics(MetricRegistry registry, LongSupplier nanoClock) {
    this.registry = registry;
    this.nanoClock = nanoClock;
    this.configurationConfirmedNanos = nanoClock.getAsLong();
    register(MetricDefinition.AUTHORITY, () -> hasAuthority ? 1 : 0);
    register(MetricDefinition.CONFIGURATION_VERSION, () -> configurationVersion);
    register(MetricDefinition.CONFIGURATION_AGE, this::configurationAgeSeconds);
  }

  /**
   * Counts a completed request.
   *
   * @param service the service named in the request
   * @param outcome the outcome of the request
   * @param duration the time from the arrival of the request to the end of its response
   */
  public void requestCompleted(ServiceName service, Outcome outcome, Duration duration) {
    service(labelOf(service, outcome)).requestCompleted(outcome, duration);
  }

  /**
   * Counts a retry.
   *
   * @param service the service of the request, which must be in the configuration
   */
  public void requestRetried(ServiceName service) {
    service(service.value()).requestRetried();
  }

  /**
   * Counts a hedged request.
   *
   * @param service the service of the request, which must be in the configuration
   */
  public void requestHedged(ServiceName service) {
    service(service.value()).requestHedged();
  }

  /**
   * Counts an attempt that was relayed to another daemon.
   *
   * @param service the service of the request, which must be in the configuration
   */
  public void requestRelayed(ServiceName service) {
    service(service.value()).requestRelayed();
  }

  /**
   * Sets the load of an upstream that this daemon dispatches to.
   *
   * @param upstream the upstream
   * @param queued the number of queued requests
   * @param inFlight the number of requests sent without a response yet
   */
  public void setUpstreamLoad(UpstreamId upstream, int queued, int inFlight) {
    upstreams
        .computeIfAbsent(upstream, u -> new UpstreamMetrics(registry, u.value()))
        .set(queued, inFlight);
  }

  /**
   * Removes the series of an upstream that this daemon no longer dispatches to.
   *
   * @param upstream the upstream
   */
  public void removeUpstream(UpstreamId upstream) {
    upstreams.remove(upstream);
    UpstreamMetrics.remove(registry, upstream.value());
  }

  /**
   * Sets whether this daemon has the authority of its cell.
   *
   * @param held whether this daemon has the authority
   */
  public void setAuthority(boolean held) {
    hasAuthority = held;
  }

  /**
   * Sets the version and age of the configuration in force.
   *
   * @param version the version
   * @param age the time since the configuration was last known to be the newest; if empty, the age
   *     keeps increasing from its previous value, or from the creation of these metrics
   */
  public void setConfiguration(long version, Optional<Duration> age) {
    configurationVersion = version;
    age.ifPresent(a -> configurationConfirmedNanos = nanoClock.getAsLong() - a.toNanos());
  }

  /**
   * Counts a platform call.
   *
   * @param call the kind of call, from a small fixed set such as {@code read_rows}
   * @param result the result of the call
   */
  public void platformCalled(String call, PlatformResult result) {
    String label = Ascii.toLowerCase(result.name());
    registry.counter(MetricDefinition.PLATFORM_CALLS.seriesName(call, label)).inc();
  }

  private static String labelOf(ServiceName service, Outcome outcome) {
    return switch (outcome) {
      case Outcome.NotRun n when CODES_WITHOUT_SERVICE.contains(n.code()) -> NO_SERVICE;
      case Outcome.Answered a -> service.value();
      case Outcome.NotRun n -> service.value();
      case Outcome.Unknown u -> service.value();
    };
  }

  private ServiceMetrics service(String label) {
    return services.computeIfAbsent(label, l -> new ServiceMetrics(registry, l));
  }

  private double configurationAgeSeconds() {
    return (nanoClock.getAsLong() - configurationConfirmedNanos) / NANOS_PER_SECOND;
  }

  private void register(MetricDefinition definition, Gauge<? extends Number> gauge) {
    registry.register(definition.seriesName(), gauge);
  }
}
