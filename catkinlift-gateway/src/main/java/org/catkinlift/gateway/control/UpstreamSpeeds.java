package org.catkinlift.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.catkinlift.gateway.peer.LoadReport.WorkTimes;
import org.catkinlift.model.UpstreamId;

/**
 * Learns the speed of each upstream from the times that all daemons measured. Confined to the
 * control thread.
 */
final class UpstreamSpeeds {
  /** Measured seconds after which older measurements have lost two thirds of their weight. */
  private static final double DECAY_SECONDS = 6;

  /** Usual seconds that are assumed besides the measured ones, so that few samples count little. */
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

  /** Forgets all upstreams but those that are known. */
  void retain(Set<UpstreamId> known) {
    workTimes.keySet().retainAll(known);
  }

  /** Returns how long work takes on an upstream compared with usual; 1 is as usual. */
  double slowness(UpstreamId upstream) {
    WorkTimes measured = workTimes.getOrDefault(upstream, new WorkTimes(0, 0));
    double ratio =
        (measured.measuredSeconds() + PRIOR_SECONDS) / (measured.expectedSeconds() + PRIOR_SECONDS);
    return Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
  }
}
