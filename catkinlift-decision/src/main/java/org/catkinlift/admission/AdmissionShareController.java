package org.catkinlift.admission;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.UpstreamId;

/**
 * Computes from the work that all daemons have which shares of it overloaded upstreams can take.
 * Confined to one thread.
 *
 * <p>Load pattern: a key becomes busy within a second. Until the first shares are in force, a queue
 * builds up at its holder, in which every later request would be late; so the shares first leave
 * room for that queue to be worked off.
 */
public final class AdmissionShareController {
  private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  /** Within this time a queue at an upstream is to be worked off. */
  private static final Duration QUEUE_DRAIN_TIME = Duration.ofMillis(800);

  /** An upstream's queue holds at most so much work for each of its slots. */
  private static final Duration MAX_QUEUE_TIME = Duration.ofMillis(600);

  /** Even with a queue, an upstream gets this part of the work that it can do. */
  private static final double MIN_CAPACITY_SHARE = 0.3;

  private final DemandMeter demand;
  private final Map<UpstreamId, Double> queuedSeconds = new HashMap<>();

  private AdmissionShares shares = AdmissionShares.ADMIT_ALL;
  private long updatedNanos;

  /**
   * Creates the computation.
   *
   * @param nowNanos the time
   */
  public AdmissionShareController(long nowNanos) {
    this.demand = new DemandMeter(nowNanos);
    this.updatedNanos = nowNanos;
  }

  /**
   * Adds the work of one request.
   *
   * @param upstream the upstream that holds its key
   * @param priority its rank; 0 is the highest
   * @param seconds how long an upstream of usual speed works on it
   */
  public void add(UpstreamId upstream, int priority, double seconds) {
    demand.add(upstream, priority, seconds);
  }

  /**
   * Returns the shares that were computed last.
   *
   * @return the shares
   */
  public AdmissionShares shares() {
    return shares;
  }

  /** Forgets the shares, because others decide now. */
  public void clear() {
    shares = AdmissionShares.ADMIT_ALL;
    queuedSeconds.clear();
  }

  /**
   * Computes the shares anew.
   *
   * @param capacities the slots of each upstream, in slots of usual speed
   * @param nowNanos the time
   */
  public void update(Map<UpstreamId, Double> capacities, long nowNanos) {
    double elapsedSeconds = (nowNanos - updatedNanos) / SECOND_NANOS;
    updatedNanos = nowNanos;
    demand.decay(nowNanos);
    ImmutableMap.Builder<UpstreamId, ImmutableSortedMap<Integer, Double>> overloaded =
        ImmutableMap.builder();
    capacities.forEach(
        (upstream, capacity) -> {
          ImmutableSortedMap<Integer, Double> demandByPriority = demand.of(upstream);
          double available =
              availableCapacity(upstream, demandByPriority, capacity, elapsedSeconds);
          ImmutableSortedMap<Integer, Double> next =
              AdmissionShareRule.shares(demandByPriority, available);
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
            .mapToDouble(r -> r.getValue() * shares.share(upstream, r.getKey()))
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
