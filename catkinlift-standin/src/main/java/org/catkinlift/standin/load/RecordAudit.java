package org.catkinlift.standin.load;

import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.standin.upstream.Task;
import org.catkinlift.standin.upstream.UpstreamActivity;

/** Audits the results reported to callers against the activity records of the upstreams. */
public final class RecordAudit {

  private RecordAudit() {}

  /**
   * Compares the reported results with the activity records.
   *
   * @param refusedIds the ids of the requests that were reported to callers as not run
   * @param records the activity of all upstreams, taken after the last request ended
   * @return the violations found
   */
  public static AuditReport compare(
      ImmutableSet<String> refusedIds, ImmutableList<UpstreamActivity> records) {
    return new AuditReport(
        ordersRunTwice(records), notRunButRan(refusedIds, records), ownerConflicts(records));
  }

  private static long ordersRunTwice(ImmutableList<UpstreamActivity> records) {
    return executions(records)
        .filter(e -> e.work().task() instanceof Task.Order)
        .collect(groupingBy(e -> e.work().requestId(), counting()))
        .values()
        .stream()
        .filter(count -> count > 1)
        .count();
  }

  private static long notRunButRan(
      ImmutableSet<String> refusedIds, ImmutableList<UpstreamActivity> records) {
    ImmutableSet<String> executedIds =
        executions(records).map(e -> e.work().requestId()).collect(toImmutableSet());
    return refusedIds.stream().filter(executedIds::contains).count();
  }

  private static long ownerConflicts(ImmutableList<UpstreamActivity> records) {
    Map<String, List<OwnedInterval>> bySubject =
        records.stream()
            .flatMap(r -> r.ownerships().stream().map(o -> new OwnedInterval(r.upstream(), o)))
            .collect(groupingBy(h -> h.ownership().subject()));
    return bySubject.values().stream().mapToLong(RecordAudit::conflicts).sum();
  }

  /** Counts the pairs of ownership intervals of different upstreams that overlap. */
  private static long conflicts(List<OwnedInterval> intervals) {
    ImmutableList<OwnedInterval> ordered =
        ImmutableList.sortedCopyOf(
            Comparator.comparingLong(h -> h.ownership().startNanos()), intervals);
    long conflicts = 0;
    for (int i = 0; i < ordered.size(); i++) {
      OwnedInterval later = ordered.get(i);
      conflicts += ordered.subList(0, i).stream().filter(later::overlaps).count();
    }
    return conflicts;
  }

  private static Stream<UpstreamActivity.Execution> executions(
      ImmutableList<UpstreamActivity> records) {
    return records.stream().flatMap(r -> r.executions().stream());
  }

  private record OwnedInterval(UpstreamId upstream, UpstreamActivity.Ownership ownership) {

    boolean overlaps(OwnedInterval earlier) {
      return !upstream.equals(earlier.upstream)
          && earlier.ownership.endNanos() > ownership.startNanos()
          && ownership.endNanos() > ownership.startNanos();
    }
  }
}
