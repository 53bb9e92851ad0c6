package org.catkinlift.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;

/**
 * Reads and writes one row, one call at a time, and determines the outcome of each write.
 *
 * <p>The row is read again after each write, because the answer to an applied write does not
 * contain the row's new version and a write without an answer may have been applied. The request id
 * in the row shows which write it was.
 */
final class RowWriter {
  private static final long READ_RETRY_NANOS = 250_000_000;

  private final String rowName;
  private final RequestIds ids;
  private long call = -1;
  private long calledAt;
  private long writtenAt;
  private String requestId = "";
  private boolean writing;
  private boolean readingBack;
  private boolean retryRead;

  /**
   * The row after a read or a write, empty if it does not exist, and whether this writer's latest
   * write produced it.
   */
  record Result(Optional<Row> row, boolean ownWrite) {}

  RowWriter(String rowName, RequestIds ids) {
    this.rowName = rowName;
    this.ids = ids;
  }

  boolean isBusy() {
    return call >= 0 || retryRead;
  }

  boolean isOwnCall(long call) {
    return this.call == call;
  }

  /** Returns the time at which the latest write was sent. */
  long writtenAt() {
    return writtenAt;
  }

  void read(Outbox out) {
    if (isBusy()) {
      return;
    }
    call = out.callPlatform(new PlatformRequest.ReadRows(rowName));
  }

  void write(long version, RowValue value, long nowNanos, Outbox out) {
    write(ImmutableMap.of(rowName, version), ImmutableMap.of(rowName, value), nowNanos, out);
  }

  void write(
      ImmutableMap<String, Long> conditions,
      ImmutableMap<String, RowValue> writes,
      long nowNanos,
      Outbox out) {
    requestId = ids.next();
    writing = true;
    readingBack = false;
    writtenAt = nowNanos;
    call = out.callPlatform(new PlatformRequest.Transact(requestId, conditions, writes));
  }

  /** Retries a read that was not answered. */
  void tick(long nowNanos, Outbox out) {
    if (retryRead && nowNanos - calledAt >= READ_RETRY_NANOS) {
      retryRead = false;
      calledAt = nowNanos;
      call = out.callPlatform(new PlatformRequest.ReadRows(rowName));
    }
  }

  /**
   * Handles the answer to the call in flight.
   *
   * @return the row once it is known; empty while another read is pending
   */
  Optional<Result> onReply(Reply reply, long nowNanos, Outbox out) {
    call = -1;
    boolean wasWrite = writing && !readingBack;
    return switch (reply) {
      case Reply.Applied a -> readAfterWrite(out);
      case Reply.Conflict c -> result(c.rows());
      case Reply.Rows r -> result(r.rows());
      case Reply.NoAnswer n -> wasWrite ? readAfterWrite(out) : scheduleReadRetry(nowNanos);
      case Reply.Hosts h -> Optional.empty();
    };
  }

  private Optional<Result> readAfterWrite(Outbox out) {
    readingBack = true;
    call = out.callPlatform(new PlatformRequest.ReadRows(rowName));
    return Optional.empty();
  }

  /** Retries an unanswered read only if it determines the outcome of a write. */
  private Optional<Result> scheduleReadRetry(long nowNanos) {
    retryRead = writing;
    calledAt = writing ? nowNanos : calledAt;
    return Optional.empty();
  }

  private Optional<Result> result(ImmutableList<Row> rows) {
    Optional<Row> row = rows.stream().filter(r -> r.name().equals(rowName)).findFirst();
    boolean ownWrite = writing && row.filter(r -> r.requestId().equals(requestId)).isPresent();
    writing = false;
    return Optional.of(new Result(row, ownWrite));
  }
}
