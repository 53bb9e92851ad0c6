package org.catkinlift.ownership;

import java.util.Optional;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue.AssignmentRow;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Epoch;

/**
 * Writes the latest assignment of one service and cell to the platform.
 *
 * <p>Writes are conditional on the row's version, and an assignment that is not newer than the
 * stored one is not written, so a row of a later term is never overwritten. During a platform
 * outage only the latest assignment is kept for writing.
 */
final class AssignmentWriter {
  private final RowWriter writer;
  private Optional<Row> row = Optional.empty();
  private boolean loaded;

  AssignmentWriter(String rowName, RequestIds ids) {
    this.writer = new RowWriter(rowName, ids);
  }

  /** Returns whether the row has been read since the last {@link #requireReload}. */
  boolean isLoaded() {
    return loaded;
  }

  /** Requires the row to be read again before the next write. */
  void requireReload() {
    loaded = false;
  }

  void read(Outbox out) {
    writer.read(out);
  }

  Optional<Assignment> storedAssignment() {
    return row.map(r -> ((AssignmentRow) r.value()).assignment());
  }

  /** Returns whether the platform has confirmed the given version or a later one. */
  boolean isConfirmed(Epoch version) {
    return !version.isAfter(storedAssignment().map(Assignment::version).orElse(Epoch.NONE));
  }

  void tick(long nowNanos, Outbox out) {
    writer.tick(nowNanos, out);
  }

  /**
   * Writes an assignment unless it is already stored, is older than the stored one, or a call is
   * pending.
   */
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
