package org.catkinlift.limits;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.UpstreamId;

/**
 * Limits the number of concurrent requests to an upstream, with a lower limit while the upstream is
 * cold.
 *
 * <p>The limit of a cold upstream starts at 1 and grows only with completed requests, because an
 * upstream that makes no progress does not become warm with time. Requests that were sent before
 * the upstream became cold, or that were slow, are no sign of progress and do not count. Confined
 * to one event loop.
 */
final class SlowStartLimiter {
  private static final int INITIAL_LIMIT = 1;
  private static final int MEDIAN_PERCENTILE = 50;

  /** A response is slow if its latency exceeds the upstream's previous median by this factor. */
  private static final int SLOW_FACTOR = 3;

  /**
   * The number of consecutive slow responses that indicate a cold start; fewer are normal with a
   * mixed load.
   */
  private static final int CONSECUTIVE_SLOW_THRESHOLD = 8;

  private final UpstreamId upstream;
  private final LatencyTracker latencies = new LatencyTracker();
  private final int fullLimit;
  private int limit;
  private int completedAtLimit;
  private int consecutiveSlow;
  private String instance = "";
  private String previousInstance = "";
  private boolean instanceUnconfirmed;
  private long coldSinceNanos = Long.MIN_VALUE;

  SlowStartLimiter(UpstreamId upstream, int fullLimit) {
    this.upstream = upstream;
    this.fullLimit = fullLimit;
    this.limit = fullLimit;
  }

  int limit() {
    return instanceUnconfirmed ? INITIAL_LIMIT : limit;
  }

  int fullLimit() {
    return fullLimit;
  }

  String instance() {
    return instance;
  }

  /** Returns the median latency; zero until enough responses were received. */
  Duration medianLatency() {
    return latencies.percentile(MEDIAN_PERCENTILE);
  }

  /** Keeps the limit at 1 until the next response shows whether the upstream has restarted. */
  void connectionLost() {
    instanceUnconfirmed = true;
  }

  ImmutableList<DecisionEvent> instanceSeen(String seen, long nowNanos) {
    // A response from the previous process may arrive after the restart was detected.
    if (seen.isEmpty() || seen.equals(previousInstance)) {
      return ImmutableList.of();
    }
    instanceUnconfirmed = false;
    if (seen.equals(instance)) {
      return ImmutableList.of();
    }
    boolean isFirst = instance.isEmpty();
    previousInstance = instance;
    instance = seen;
    return isFirst ? ImmutableList.of() : becomeCold("restarted", nowNanos);
  }

  ImmutableList<DecisionEvent> answered(Duration latency, long nowNanos) {
    instanceUnconfirmed = false;
    boolean isSlow = isSlow(latency);
    boolean sentWhileCold = nowNanos - latency.toNanos() >= coldSinceNanos;
    consecutiveSlow = isSlow ? consecutiveSlow + 1 : 0;
    latencies.record(latency);
    if (isCold()) {
      return isSlow || !sentWhileCold ? ImmutableList.of() : grow();
    }
    return consecutiveSlow < CONSECUTIVE_SLOW_THRESHOLD ? ImmutableList.of() : becomeSlow(nowNanos);
  }

  /**
   * Treats a warm upstream that sheds a request as cold; halves the limit of one that is already
   * cold.
   */
  ImmutableList<DecisionEvent> shed(long nowNanos) {
    instanceUnconfirmed = false;
    if (!isCold()) {
      return becomeCold("shed", nowNanos);
    }
    limit = Math.max(INITIAL_LIMIT, limit / 2);
    restartRamp(nowNanos);
    return ImmutableList.of();
  }

  /**
   * Discards the latency samples, so that an upstream that stays slow does not remain cold forever.
   */
  private ImmutableList<DecisionEvent> becomeSlow(long nowNanos) {
    latencies.clear();
    return becomeCold("slow", nowNanos);
  }

  private ImmutableList<DecisionEvent> becomeCold(String reason, long nowNanos) {
    boolean wasCold = isCold();
    limit = Math.min(INITIAL_LIMIT, fullLimit);
    restartRamp(nowNanos);
    return wasCold || !isCold() ? ImmutableList.of() : reportCold(reason);
  }

  private void restartRamp(long nowNanos) {
    completedAtLimit = 0;
    consecutiveSlow = 0;
    coldSinceNanos = nowNanos;
  }

  private ImmutableList<DecisionEvent> grow() {
    completedAtLimit++;
    if (completedAtLimit < limit) {
      return ImmutableList.of();
    }
    limit++;
    completedAtLimit = 0;
    return isCold()
        ? ImmutableList.of()
        : ImmutableList.of(DecisionEvent.of(EventCode.UPSTREAM_WARM, "upstream", upstream));
  }

  private ImmutableList<DecisionEvent> reportCold(String reason) {
    return ImmutableList.of(
        DecisionEvent.of(EventCode.UPSTREAM_COLD, "upstream", upstream, "reason", reason));
  }

  private boolean isCold() {
    return limit < fullLimit;
  }

  private boolean isSlow(Duration latency) {
    return latencies.hasPercentiles()
        && latency.compareTo(medianLatency().multipliedBy(SLOW_FACTOR)) > 0;
  }
}
