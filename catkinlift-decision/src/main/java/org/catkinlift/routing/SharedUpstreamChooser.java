package org.catkinlift.routing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/**
 * Balances requests among the upstreams of services that are not partitioned by key, by power of
 * two choices.
 *
 * <p>The cost of an upstream is computed only from this daemon's own observations: its requests in
 * flight, their latency and recent failures. Load reports of upstreams are late or misleading and
 * are not used. Confined to one event loop.
 */
public final class SharedUpstreamChooser {
  private static final double MEAN_LATENCY_WEIGHT = 0.05;
  private static final double INITIAL_LATENCY_NANOS = Duration.ofMillis(10).toNanos();

  private final SplittableRandom random;
  private final Map<UpstreamId, UpstreamStatistics> statistics = new HashMap<>();
  private double meanLatencyNanos = INITIAL_LATENCY_NANOS;

  /**
   * Creates a chooser without observations.
   *
   * @param random draws the two candidates
   */
  public SharedUpstreamChooser(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Chooses one of several upstreams.
   *
   * @param candidates the upstreams that may get the request, at least one
   * @param nowNanos the time
   * @return the cheaper one of two candidates drawn at random
   */
  public UpstreamDefinition choose(ImmutableList<UpstreamDefinition> candidates, long nowNanos) {
    int count = candidates.size();
    if (count == 1) {
      return candidates.get(0);
    }
    int first = random.nextInt(count);
    int second = (first + 1 + random.nextInt(count - 1)) % count;
    UpstreamDefinition a = candidates.get(first);
    UpstreamDefinition b = candidates.get(second);
    return cost(b, nowNanos) < cost(a, nowNanos) ? b : a;
  }

  /**
   * Records that a request was sent to an upstream.
   *
   * @param upstream the upstream
   * @param nowNanos the time
   */
  public void started(UpstreamId upstream, long nowNanos) {
    statisticsOf(upstream).started(nowNanos);
  }

  /**
   * Records the end of a started request.
   *
   * @param upstream the upstream
   * @param latency the time since it was started
   * @param outcome the outcome of the request
   * @param nowNanos the time
   */
  public void finished(UpstreamId upstream, Duration latency, Outcome outcome, long nowNanos) {
    switch (outcome) {
      case Outcome.Answered answered -> {
        statisticsOf(upstream).answered(latency, nowNanos);
        meanLatencyNanos += MEAN_LATENCY_WEIGHT * (latency.toNanos() - meanLatencyNanos);
      }
      case Outcome.NotRun notRun -> statisticsOf(upstream).failed(nowNanos);
      case Outcome.Unknown unknown -> statisticsOf(upstream).failed(nowNanos);
    }
  }

  /**
   * Records that a started request was cancelled; this affects neither latency nor failures of the
   * upstream.
   *
   * @param upstream the upstream
   */
  public void cancelled(UpstreamId upstream) {
    statisticsOf(upstream).decrementInFlight();
  }

  /**
   * Returns the number of this daemon's requests in flight to an upstream.
   *
   * @param upstream the upstream
   * @return the number of requests
   */
  public int inFlight(UpstreamId upstream) {
    return statisticsOf(upstream).inFlight();
  }

  private double cost(UpstreamDefinition upstream, long nowNanos) {
    return statisticsOf(upstream.id())
        .cost(upstream.concurrencyLimit(), meanLatencyNanos, nowNanos);
  }

  private UpstreamStatistics statisticsOf(UpstreamId upstream) {
    return statistics.computeIfAbsent(upstream, id -> new UpstreamStatistics());
  }
}
