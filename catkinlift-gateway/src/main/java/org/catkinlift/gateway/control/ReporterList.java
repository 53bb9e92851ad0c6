package org.catkinlift.gateway.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.HostId;

/** Counts the daemons that report to this one. Confined to the control thread. */
final class ReporterList {
  private static final Duration COUNTED_FOR = Duration.ofSeconds(5);

  private final Map<HostId, Long> lastNanos = new HashMap<>();

  void reported(HostId host, long nowNanos) {
    lastNanos.put(host, nowNanos);
  }

  /** Returns the number of daemons, this one included. */
  int count(long nowNanos) {
    lastNanos.values().removeIf(last -> nowNanos - last > COUNTED_FOR.toNanos());
    return lastNanos.size() + 1;
  }
}
