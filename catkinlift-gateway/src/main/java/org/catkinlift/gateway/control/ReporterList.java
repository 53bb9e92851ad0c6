package org.catkinlift.gateway.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.model.HostId;

/** Tracks the daemons that report to this one. Confined to the control thread. */
final class ReporterList {
  private static final Duration REPORTER_TIMEOUT = Duration.ofSeconds(5);

  /**
   * How many daemons poll the store besides the coordinator. The versions that they observe reveal
   * a silent connection between the coordinator and the store.
   */
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

  /** Returns whether a daemon is one of those that poll the store besides this one. */
  boolean isPolling(HostId host) {
    return pollingReporters.contains(host);
  }

  /** Returns the number of live daemons, including this one. */
  int daemonCount(long nowNanos) {
    reporters.values().removeIf(r -> nowNanos - r.lastReportNanos() > REPORTER_TIMEOUT.toNanos());
    return reporters.size() + 1;
  }

  /** Returns the CPU capacity of the strongest reporting host, in cores; 0 if there is none. */
  double maxCpuCapacity() {
    return reporters.values().stream().mapToDouble(Reporter::cpuCapacity).max().orElse(0);
  }
}
