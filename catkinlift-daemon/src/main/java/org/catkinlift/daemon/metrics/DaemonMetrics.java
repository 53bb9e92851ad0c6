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

/** Records what the daemon does. Safe for use by any thread. */
public final class DaemonMetrics {
  /** The label for requests that name no service; callers could invent names without end. */
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

  /** How a call to the platform ended. */
  public enum PlatformResult {
    /** The platform answered and did what was asked. */
    OK,
    /** The platform answered that a condition does not hold. */
    CONFLICT,
    /** No answer came; a write may have taken effect. */
    FAILED
  }

  /**
   * Creates the metrics and registers those without labels.
   *
   * @param registry where the series are kept
   * @param nanoClock monotonic time in nanoseconds
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
   * Counts a request that ended.
   *
   * @param service the service that the caller named
   * @param outcome how the request ended
   * @param duration from its arrival to the end of its answer
   */
  public void requestCompleted(ServiceName service, Outcome outcome, Duration duration) {
    service(labelOf(service, outcome)).requestCompleted(outcome, duration);
  }

  /**
   * Counts a request that was sent again.
   *
   * @param service its service, which must exist
   */
  public void requestRetried(ServiceName service) {
    service(service.value()).requestRetried();
  }

  /**
   * Counts a request that was sent to a second upstream.
   *
   * @param service its service, which must exist
   */
  public void requestHedged(ServiceName service) {
    service(service.value()).requestHedged();
  }

  /**
   * Counts a request that was relayed to another daemon.
   *
   * @param service its service, which must exist
   */
  public void requestRelayed(ServiceName service) {
    service(service.value()).requestRelayed();
  }

  /**
   * Sets the load of an upstream that this daemon dispatches to.
   *
   * @param upstream the upstream
   * @param queued the requests in its queue
   * @param inFlight the requests sent and not answered yet
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
   * @param held true if it has
   */
  public void setAuthority(boolean held) {
    hasAuthority = held;
  }

  /**
   * Sets the configuration in force.
   *
   * @param version its version
   * @param age the time since it was last known to be the newest; if empty, the age goes on to
   *     count from the start of the daemon
   */
  public void setConfiguration(long version, Optional<Duration> age) {
    configurationVersion = version;
    age.ifPresent(a -> configurationConfirmedNanos = nanoClock.getAsLong() - a.toNanos());
  }

  /**
   * Counts a call to the platform.
   *
   * @param call the kind of call, one of a few fixed words such as {@code read}
   * @param result how it ended
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
