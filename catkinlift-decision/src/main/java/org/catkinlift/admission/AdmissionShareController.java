package org.catkinlift.admission;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.UpstreamId;

/**
 * Computes from the demand of all daemons which shares of their requests overloaded upstreams can
 * take. Confined to one thread.
 *
 * <p>Load pattern: a key becomes hot within a second. Until the first shares are in force, a queue
 * builds up at its holder in which every later request would be late; the shares therefore first
 * leave capacity to drain that queue.
 */
public final class AdmissionShareController {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  /** The time within which a queue at an upstream is to be drained. */
  private static final Duration QUEUE_DRAIN_TIME = Duration.ofMillis(800);

  /** The most work that the queue of an upstream holds for each of its slots. */
  private static final Duration MAX_QUEUE_TIME = Duration.ofMillis(600);

  /** The share of its capacity that an upstream gets even while its queue is drained. */
  private static final double MIN_CAPACITY_SHARE = 0.3;

  private final DemandMeter demand;
  private final Map<UpstreamId, Double> queuedSeconds = new HashMap<>();

  private AdmissionShares shares = AdmissionShares.ADMIT_ALL;
  private long updatedAtNanos;

  /**
   * Creates a controller that admits all requests.
   *
   * @param nowNanos the current time
   */
  public AdmissionShareController(long nowNanos) {
    this.demand = new DemandMeter(nowNanos);
    this.updatedAtNanos = nowNanos;
  }

  /**
   * Adds the service time of one request.
   *
   * @param upstream the upstream that holds the key of the request
   * @param priority the priority of the request; 0 is the highest
   * @param seconds the service time at an upstream of normal speed
   */
  public void add(UpstreamId upstream, int priority, double seconds) {
    demand.add(upstream, priority, seconds);
  }

  /** Returns the shares that were computed last. */
  public AdmissionShares shares() {
    return shares;
  }

  /** Discards the shares, because another daemon decides now. */
  public void clear() {
    shares = AdmissionShares.ADMIT_ALL;
    queuedSeconds.clear();
  }

  /**
   * Recomputes the shares.
   *
   * @param capacities the number of slots of each upstream, in slots of normal speed
   * @param nowNanos the current time
   */
  public void update(Map<UpstreamId, Double> capacities, long nowNanos) {
    double elapsedSeconds = (nowNanos - updatedAtNanos) / SECOND_NANOS;
    updatedAtNanos = nowNanos;
    demand.decay(nowNanos);
    ImmutableMap.Builder<UpstreamId, ImmutableSortedMap<Integer, Double>> overloaded =
        ImmutableMap.builder();
    capacities.forEach(
        (upstream, capacity) -> {
          ImmutableSortedMap<Integer, Double> demandByPriority = demand.of(upstream);
          double available =
              availableCapacity(upstream, demandByPriority, capacity, elapsedSeconds);
          ImmutableSortedMap<Integer, Double> next =
              AdmissionSharePolicy.shares(demandByPriority, available);
          if (!next.isEmpty()) {
            overloaded.put(upstream, next);
          }
        });
    shares = new AdmissionShares(overloaded.buildOrThrow());
  }

  private double availableCapacity(
      UpstreamId upstream,
      ImmutableSortedMap<Integer, Double> demandByPriority,
      double capacity,
      double elapsedSeconds) {
    double admitted =
        demandByPriority.entrySet().stream()
            .mapToDouble(entry -> entry.getValue() * shares.share(upstream, entry.getKey()))
            .sum();
    double previouslyQueued = queuedSeconds.getOrDefault(upstream, 0.0);
    double maxQueued = capacity * MAX_QUEUE_TIME.toMillis() / 1_000.0;
    double queued =
        Math.max(0, Math.min(maxQueued, previouslyQueued + (admitted - capacity) * elapsedSeconds));
    if (queued == 0) {
      queuedSeconds.remove(upstream);
      return capacity;
    }
    queuedSeconds.put(upstream, queued);
    double drainRate = queued * 1_000.0 / QUEUE_DRAIN_TIME.toMillis();
    return Math.max(capacity * MIN_CAPACITY_SHARE, capacity - drainRate);
  }
}
