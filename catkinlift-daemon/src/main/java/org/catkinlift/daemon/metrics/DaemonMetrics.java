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

  private static final ImmutableSet<RefusalCode> WITHOUT_SERVICE =
      ImmutableSet.of(RefusalCode.BAD_REQUEST, RefusalCode.UNKNOWN_SERVICE);
  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry;
  private final LongSupplier nanoClock;
  private final Map<String, ServiceMetrics> services = new ConcurrentHashMap<>();
  private final Map<UpstreamId, UpstreamMetrics> upstreams = new ConcurrentHashMap<>();
  private volatile boolean authority;
  private volatile long configurationVersion;
  private volatile long configurationSeenNanos;

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
    this.configurationSeenNanos = nanoClock.getAsLong();
    register(MetricDefinition.AUTHORITY, () -> authority ? 1 : 0);
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
  public void requestEnded(ServiceName service, Outcome outcome, Duration duration) {
    service(labelOf(service, outcome)).ended(outcome, duration);
  }

  /**
   * Counts a request that was sent again.
   *
   * @param service its service, which must exist
   */
  public void requestRetried(ServiceName service) {
    service(service.value()).retried();
  }

  /**
   * Counts a request that was sent to a second upstream.
   *
   * @param service its service, which must exist
   */
  public void requestHedged(ServiceName service) {
    service(service.value()).hedged();
  }

  /**
   * Counts a request that was relayed to another daemon.
   *
   * @param service its service, which must exist
   */
  public void requestRelayed(ServiceName service) {
    service(service.value()).relayed();
  }

  /**
   * Sets the load of an upstream that this daemon dispatches to.
   *
   * @param upstream the upstream
   * @param queued the requests in its queue
   * @param inFlight the requests sent and not answered yet
   */
  public void upstreamLoad(UpstreamId upstream, int queued, int inFlight) {
    upstreams
        .computeIfAbsent(upstream, u -> new UpstreamMetrics(registry, u.value()))
        .set(queued, inFlight);
  }

  /**
   * Removes the series of an upstream that this daemon no longer dispatches to.
   *
   * @param upstream the upstream
   */
  public void upstreamLeft(UpstreamId upstream) {
    upstreams.remove(upstream);
    UpstreamMetrics.remove(registry, upstream.value());
  }

  /**
   * Sets whether this daemon has the authority of its cell.
   *
   * @param held true if it has
   */
  public void authority(boolean held) {
    authority = held;
  }

  /**
   * Sets the configuration in force.
   *
   * @param version its version
   * @param age the time since it was last known to be the newest; if empty, the age goes on to
   *     count from the start of the daemon
   */
  public void configurationSeen(long version, Optional<Duration> age) {
    configurationVersion = version;
    age.ifPresent(a -> configurationSeenNanos = nanoClock.getAsLong() - a.toNanos());
  }

  /**
   * Counts a call to the platform.
   *
   * @param call the kind of call, one of a few fixed words such as {@code read}
   * @param result how it ended
   */
  public void platformCalled(String call, PlatformResult result) {
    String label = Ascii.toLowerCase(result.name());
    registry.counter(MetricDefinition.PLATFORM_CALLS.series(call, label)).inc();
  }

  private static String labelOf(ServiceName service, Outcome outcome) {
    return switch (outcome) {
      case Outcome.NotRun n when WITHOUT_SERVICE.contains(n.code()) -> NO_SERVICE;
      case Outcome.Answered a -> service.value();
      case Outcome.NotRun n -> service.value();
      case Outcome.Unknown u -> service.value();
    };
  }

  private ServiceMetrics service(String label) {
    return services.computeIfAbsent(label, l -> new ServiceMetrics(registry, l));
  }

  private double configurationAgeSeconds() {
    return (nanoClock.getAsLong() - configurationSeenNanos) / NANOS_PER_SECOND;
  }

  private void register(MetricDefinition definition, Gauge<? extends Number> gauge) {
    registry.register(definition.series(), gauge);
  }
}
