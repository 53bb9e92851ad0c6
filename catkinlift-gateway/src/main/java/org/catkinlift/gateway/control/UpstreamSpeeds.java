package org.catkinlift.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.catkinlift.gateway.peer.LoadReport.WorkTimes;
import org.catkinlift.model.UpstreamId;

/**
 * Estimates the speed of each upstream from the service times that all daemons measured. Confined
 * to the control thread.
 */
final class UpstreamSpeeds {
  /**
   * Seconds of expected service time after which older samples have lost two thirds of their
   * weight.
   */
  private static final double DECAY_SECONDS = 6;

  /**
   * Seconds at normal speed added to the samples, so that a few samples change the estimate little.
   */
  private static final double PRIOR_SECONDS = 1;

  private static final double MAX_SLOWNESS = 6;
  private static final double MIN_SLOWNESS = 0.5;

  private final Map<UpstreamId, WorkTimes> workTimes = new HashMap<>();

  void add(UpstreamId upstream, WorkTimes added) {
    WorkTimes previous = workTimes.getOrDefault(upstream, new WorkTimes(0, 0));
    double decayFactor = Math.exp(-added.expectedSeconds() / DECAY_SECONDS);
    workTimes.put(
        upstream,
        new WorkTimes(
                previous.measuredSeconds() * decayFactor, previous.expectedSeconds() * decayFactor)
            .plus(added));
  }

  /** Discards the estimates of all upstreams that are not known. */
  void retain(Set<UpstreamId> known) {
    workTimes.keySet().retainAll(known);
  }

  /** Returns the ratio of an upstream's service times to normal ones; 1 is normal speed. */
  double slowness(UpstreamId upstream) {
    WorkTimes measured = workTimes.getOrDefault(upstream, new WorkTimes(0, 0));
    double ratio =
        (measured.measuredSeconds() + PRIOR_SECONDS) / (measured.expectedSeconds() + PRIOR_SECONDS);
    return Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
  }
}
