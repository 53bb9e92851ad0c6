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
  private static final double MEMORY_SECONDS = 6;

  /** Usual seconds that are assumed besides the measured ones, so that few samples count little. */
  private static final double PRIOR_SECONDS = 1;

  private static final double SLOWEST = 6;
  private static final double FASTEST = 0.5;

  private final Map<UpstreamId, WorkTimes> times = new HashMap<>();

  void measured(UpstreamId upstream, WorkTimes added) {
    WorkTimes before = times.getOrDefault(upstream, new WorkTimes(0, 0));
    double keep = Math.exp(-added.usualSeconds() / MEMORY_SECONDS);
    times.put(
        upstream,
        new WorkTimes(before.measuredSeconds() * keep, before.usualSeconds() * keep).plus(added));
  }

  /** Forgets all upstreams but those that are known. */
  void retain(Set<UpstreamId> known) {
    times.keySet().retainAll(known);
  }

  /** Returns how long work takes on an upstream compared with usual; 1 is as usual. */
  double slowness(UpstreamId upstream) {
    WorkTimes known = times.getOrDefault(upstream, new WorkTimes(0, 0));
    double ratio =
        (known.measuredSeconds() + PRIOR_SECONDS) / (known.usualSeconds() + PRIOR_SECONDS);
    return Math.max(FASTEST, Math.min(SLOWEST, ratio));
  }
}
