package org.catkinlift.ownership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.ServiceName;

/**
 * Publishes the load of one service in this cell and tells which reports of the cells are fresh.
 *
 * <p>The age of a report is counted from when this coordinator saw its version change, because
 * clocks of different hosts are not compared. A report that was there from the start has an unknown
 * age and counts as stale.
 */
final class CellLoads {
  /** The time between two reports of a cell, the same as between two decisions. */
  static final Duration PUBLISH_INTERVAL = Duration.ofSeconds(30);

  /** Three intervals, so that a report may be late once while a coordinator is replaced. */
  static final Duration MAX_REPORT_AGE = PUBLISH_INTERVAL.multipliedBy(3);

  private static final Duration OBSERVE_INTERVAL = Duration.ofSeconds(1);
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final CellContext context;
  private final ServiceName service;
  private final Map<CellId, ObservedReport> observedReports = new HashMap<>();
  private long observedAt = NEVER;
  private long publishedAt = NEVER;
  private long publishedHomeVersion;

  /** The latest version of a report and when it changed; {@code NEVER} for the first one seen. */
  private record ObservedReport(Epoch version, long changedAt) {}

  CellLoads(CellContext context, ServiceName service) {
    this.context = context;
    this.service = service;
  }

  /** Tells whether a report is due; at once when the load under a new home map is known. */
  boolean isReportDue(long homeVersion, long nowNanos) {
    boolean newHomeVersion = homeVersion > publishedHomeVersion;
    return newHomeVersion || nowNanos - publishedAt >= PUBLISH_INTERVAL.toNanos();
  }

  /** Puts a report into the store, from where the periodic digests spread it. */
  void publish(CellLoad.Measured measured, Epoch version, long nowNanos) {
    publishedAt = nowNanos;
    publishedHomeVersion = measured.homeVersion();
    context.store().offer(new CellLoad(service, context.cell(), version, measured));
  }

  /** Notes which reports have changed. */
  void observe(ImmutableSet<CellId> cells, long nowNanos) {
    if (nowNanos - observedAt < OBSERVE_INTERVAL.toNanos()) {
      return;
    }
    observedAt = nowNanos;
    observedReports.keySet().retainAll(cells);
    cells.forEach(cell -> report(cell).ifPresent(r -> recordVersion(r, nowNanos)));
  }

  private void recordVersion(CellLoad report, long nowNanos) {
    ObservedReport before = observedReports.get(report.cell());
    if (before == null) {
      observedReports.put(report.cell(), new ObservedReport(report.version(), NEVER));
    } else if (!before.version.equals(report.version())) {
      observedReports.put(report.cell(), new ObservedReport(report.version(), nowNanos));
    }
  }

  /** Tells whether a cell has ever reported load, so that load decides and not slot counts. */
  boolean anyLoadReported(ImmutableSet<CellId> cells) {
    return cells.stream().flatMap(c -> report(c).stream()).anyMatch(r -> r.measured().load() > 0);
  }

  /** Returns the loads if every cell has a fresh report that was measured under a home map. */
  Optional<ImmutableMap<CellId, CellLoad.Measured>> freshLoads(
      ImmutableSet<CellId> cells, long homeVersion, long nowNanos) {
    var loads = ImmutableMap.<CellId, CellLoad.Measured>builder();
    for (CellId cell : cells) {
      Optional<CellLoad.Measured> measured =
          report(cell)
              .filter(r -> isFresh(r, nowNanos))
              .map(CellLoad::measured)
              .filter(m -> m.homeVersion() == homeVersion && m.capacity() > 0);
      if (measured.isEmpty()) {
        return Optional.empty();
      }
      loads.put(cell, measured.get());
    }
    return Optional.of(loads.buildOrThrow());
  }

  private boolean isFresh(CellLoad report, long nowNanos) {
    ObservedReport known = observedReports.get(report.cell());
    return known != null && nowNanos - known.changedAt <= MAX_REPORT_AGE.toNanos();
  }

  private Optional<CellLoad> report(CellId cell) {
    return context.store().cellLoad(service, cell);
  }
}
