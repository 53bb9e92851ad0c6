package org.catkinlift.gateway.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.model.HostId;

/** Knows the daemons that report to this one. Confined to the control thread. */
final class ReporterList {
  private static final Duration COUNTED_FOR = Duration.ofSeconds(5);

  private final Map<HostId, Reporter> reporters = new HashMap<>();

  private record Reporter(double processor, long lastNanos) {}

  void reported(LoadReport report, long nowNanos) {
    reporters.put(report.host(), new Reporter(report.processor(), nowNanos));
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
