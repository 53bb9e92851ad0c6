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
import org.catkinlift.standin.upstream.UpstreamRecord;

/** Compares what callers were told with what the upstreams did. */
public final class RecordAudit {

  private RecordAudit() {}

  /**
   * Compares.
   *
   * @param refusedIds the ids of the requests of which callers were told that they did not run
   * @param records the records of all upstreams, taken after the last request ended
   * @return what does not agree
   */
  public static AuditReport compare(
      ImmutableSet<String> refusedIds, ImmutableList<UpstreamRecord> records) {
    return new AuditReport(
        ordersRunTwice(records), notRunButRan(refusedIds, records), ownerConflicts(records));
  }

  private static long ordersRunTwice(ImmutableList<UpstreamRecord> records) {
    return executions(records)
        .filter(e -> e.work().task() instanceof Task.Order)
        .collect(groupingBy(e -> e.work().requestId(), counting()))
        .values()
        .stream()
        .filter(count -> count > 1)
        .count();
  }

  private static long notRunButRan(
      ImmutableSet<String> refusedIds, ImmutableList<UpstreamRecord> records) {
    ImmutableSet<String> ran =
        executions(records).map(e -> e.work().requestId()).collect(toImmutableSet());
    return refusedIds.stream().filter(ran::contains).count();
  }

  private static long ownerConflicts(ImmutableList<UpstreamRecord> records) {
    Map<String, List<Held>> bySubject =
        records.stream()
            .flatMap(r -> r.ownerships().stream().map(o -> new Held(r.upstream(), o)))
            .collect(groupingBy(h -> h.ownership().subject()));
    return bySubject.values().stream().mapToLong(RecordAudit::conflicts).sum();
  }

  /** Counts the times at which an upstream started to own while another one still did. */
  private static long conflicts(List<Held> times) {
    ImmutableList<Held> ordered =
        ImmutableList.sortedCopyOf(
            Comparator.comparingLong(h -> h.ownership().startNanos()), times);
    long conflicts = 0;
    for (int i = 0; i < ordered.size(); i++) {
      Held later = ordered.get(i);
      conflicts += ordered.subList(0, i).stream().filter(later::overlaps).count();
    }
    return conflicts;
  }

  private static Stream<UpstreamRecord.Execution> executions(
      ImmutableList<UpstreamRecord> records) {
    return records.stream().flatMap(r -> r.executions().stream());
  }

  private record Held(UpstreamId upstream, UpstreamRecord.Ownership ownership) {

    boolean overlaps(Held earlier) {
      return !upstream.equals(earlier.upstream)
          && earlier.ownership.endNanos() > ownership.startNanos()
          && ownership.endNanos() > ownership.startNanos();
    }
  }
}
