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
 * Publishes the load of one service in this cell and determines which load reports of all cells are
 * fresh.
 *
 * <p>The age of a report is measured from the time at which this coordinator observed a new version
 * of it, because clocks of different hosts are not comparable. The first observed version of a
 * report has an unknown age and is treated as stale.
 */
final class CellLoads {
  /**
   * The interval of the load reports of a cell, equal to the interval of the decisions based on
   * them.
   */
  static final Duration PUBLISH_INTERVAL = Duration.ofSeconds(30);

  /** Three intervals, so that one late report during a change of coordinator is tolerated. */
  static final Duration MAX_REPORT_AGE = PUBLISH_INTERVAL.multipliedBy(3);

  private static final Duration OBSERVE_INTERVAL = Duration.ofSeconds(1);
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final CellContext context;
  private final ServiceName service;
  private final Map<CellId, ObservedReport> observedReports = new HashMap<>();
  private long observedAt = NEVER;
  private long publishedAt = NEVER;
  private long publishedHomeVersion;

  /**
   * The latest version of a report and the time of its change; {@code NEVER} for the first observed
   * version.
   */
  private record ObservedReport(Epoch version, long changedAt) {}

  CellLoads(CellContext context, ServiceName service) {
    this.context = context;
    this.service = service;
  }

  /**
   * Returns whether a report is due. The first load measured under a new home map is due
   * immediately.
   */
  boolean isReportDue(long homeVersion, long nowNanos) {
    boolean newHomeVersion = homeVersion > publishedHomeVersion;
    return newHomeVersion || nowNanos - publishedAt >= PUBLISH_INTERVAL.toNanos();
  }

  /** Stores a report. The periodic digests distribute it to the other cells. */
  void publish(CellLoad.Measured measured, Epoch version, long nowNanos) {
    publishedAt = nowNanos;
    publishedHomeVersion = measured.homeVersion();
    context.store().offer(new CellLoad(service, context.cell(), version, measured));
  }

  /** Checks which reports have changed, at most once per second. */
  void observe(ImmutableSet<CellId> cells, long nowNanos) {
    if (nowNanos - observedAt < OBSERVE_INTERVAL.toNanos()) {
      return;
    }
    observedAt = nowNanos;
    observedReports.keySet().retainAll(cells);
    cells.forEach(cell -> report(cell).ifPresent(r -> recordVersion(r, nowNanos)));
  }

  private void recordVersion(CellLoad report, long nowNanos) {
    ObservedReport previous = observedReports.get(report.cell());
    if (previous == null) {
      observedReports.put(report.cell(), new ObservedReport(report.version(), NEVER));
    } else if (!previous.version.equals(report.version())) {
      observedReports.put(report.cell(), new ObservedReport(report.version(), nowNanos));
    }
  }

  /**
   * Returns whether any cell has a report with load, in which case load decides instead of slot
   * counts.
   */
  boolean anyLoadReported(ImmutableSet<CellId> cells) {
    return cells.stream().flatMap(c -> report(c).stream()).anyMatch(r -> r.measured().load() > 0);
  }

  /**
   * Returns the loads if every cell has a fresh report that was measured under the given home map.
   */
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
