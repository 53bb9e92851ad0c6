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
  private static final Duration REPORTER_TIMEOUT = Duration.ofSeconds(5);

  /** Others notice by their news if a connection of the coordinator to the store is silent. */
  private static final int MAX_POLLING_REPORTERS = 1;

  private final Map<HostId, Reporter> reporters = new HashMap<>();

  private final Set<HostId> pollingReporters = new HashSet<>();

  private record Reporter(double cpuCapacity, long lastReportNanos) {}

  void reportReceived(LoadReport report, long nowNanos) {
    reporters.put(report.host(), new Reporter(report.cpuCapacity(), nowNanos));
    pollingReporters.retainAll(reporters.keySet());
    if (pollingReporters.size() < MAX_POLLING_REPORTERS) {
      pollingReporters.add(report.host());
    }
  }

  /** Tells whether a daemon is among the few that ask the store for news beside this one. */
  boolean isPolling(HostId host) {
    return pollingReporters.contains(host);
  }

  /** Returns the number of daemons, this one included. */
  int daemonCount(long nowNanos) {
    reporters.values().removeIf(r -> nowNanos - r.lastReportNanos() > REPORTER_TIMEOUT.toNanos());
    return reporters.size() + 1;
  }

  /** Returns the processor time of the strongest other host, in cores; 0 if there is none. */
  double maxCpuCapacity() {
    return reporters.values().stream().mapToDouble(Reporter::cpuCapacity).max().orElse(0);
  }
}
