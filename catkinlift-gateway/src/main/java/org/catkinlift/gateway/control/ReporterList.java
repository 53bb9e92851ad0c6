package org.catkinlift.gateway.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.model.HostId;

/** Knows the daemons that report to this one. Confined to the control thread. */
final class ReporterList {
  private static final Duration COUNTED_FOR = Duration.ofSeconds(5);

  /** Others notice by their news if a connection of the coordinator to the store is silent. */
  private static final int ASKERS = 1;

  private final Map<HostId, Reporter> reporters = new HashMap<>();

  private final Set<HostId> askers = new HashSet<>();

  private record Reporter(double processor, long lastNanos) {}

  void reported(LoadReport report, long nowNanos) {
    reporters.put(report.host(), new Reporter(report.processor(), nowNanos));
    askers.retainAll(reporters.keySet());
    if (askers.size() < ASKERS) {
      askers.add(report.host());
    }
  }

  /** Tells whether a daemon is among the few that ask the store for news beside this one. */
  boolean asksTheStore(HostId host) {
    return askers.contains(host);
  }

  /** Returns the number of daemons, this one included. */
  int count(long nowNanos) {
    reporters.values().removeIf(r -> nowNanos - r.lastNanos() > COUNTED_FOR.toNanos());
    return reporters.size() + 1;
  }

  /** Returns the processor time of the strongest other host, in cores; 0 if there is none. */
  double strongest() {
    return reporters.values().stream().mapToDouble(Reporter::processor).max().orElse(0);
  }
}
