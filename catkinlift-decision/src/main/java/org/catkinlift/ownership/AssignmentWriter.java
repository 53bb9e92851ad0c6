package org.catkinlift.ownership;

import java.util.Optional;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue.AssignmentRow;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Epoch;

/**
 * Writes the assignment of one service and cell to the platform, the latest one only.
 *
 * <p>Writes are conditional on the row's version. During an outage the latest assignment waits; a
 * row of a later term is never overwritten.
 */
final class AssignmentWriter {
  private final RowWriter writer;
  private Optional<Row> row = Optional.empty();
  private boolean loaded;

  AssignmentWriter(String rowName, RequestIds ids) {
    this.writer = new RowWriter(rowName, ids);
  }

  /** Tells whether the row has been read at least once. */
  boolean isLoaded() {
    return loaded;
  }

  /** Reads the row anew before anything else is written. */
  void requireReload() {
    loaded = false;
  }

  void read(Outbox out) {
    writer.read(out);
  }

  Optional<Assignment> storedAssignment() {
    return row.map(r -> ((AssignmentRow) r.value()).assignment());
  }

  /** Tells whether the platform has confirmed a version or a later one. */
  boolean isConfirmed(Epoch version) {
    return !version.isAfter(storedAssignment().map(Assignment::version).orElse(Epoch.NONE));
  }

  void tick(long nowNanos, Outbox out) {
    writer.tick(nowNanos, out);
  }

  /** Writes an assignment unless it is written already, a call is under way or it is older. */
  void write(Assignment assignment, long nowNanos, Outbox out) {
    if (!loaded || writer.isBusy() || isConfirmed(assignment.version())) {
      return;
    }
    long version = row.map(Row::version).orElse(0L);
    writer.write(version, new AssignmentRow(assignment), nowNanos, out);
  }

  void onReply(long call, Reply reply, long nowNanos, Outbox out) {
    if (!writer.isOwnCall(call)) {
      return;
    }
    Optional<RowWriter.Result> result = writer.onReply(reply, nowNanos, out);
    result.ifPresent(
        r -> {
          row = r.row();
          loaded = true;
        });
  }
}
