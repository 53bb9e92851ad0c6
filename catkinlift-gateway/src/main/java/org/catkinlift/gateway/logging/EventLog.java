package org.catkinlift.gateway.logging;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.catkinlift.events.EventCode;

/**
 * Writes one structured line for each event, without blocking the thread that logs.
 *
 * <p>A writer thread takes lines from a bounded queue. {@code DEBUG} lines, such as those of
 * successful requests, are dropped when the queue is half full, all lines when it is full. The next
 * write is followed by a line that states how many lines were dropped.
 *
 * <p>{@code DEBUG} lines are gathered for a while, because each wake-up and each write costs more
 * than the line itself. Lines of a higher severity are written at once, with those gathered so far.
 */
public final class EventLog {
  private static final int QUEUE_CAPACITY = 4_096;
  private static final long CLOSE_TIMEOUT_MILLIS = 300;
  private static final String END_MARKER = "";
  private static final int RESERVED_CAPACITY = QUEUE_CAPACITY / 2;

  /** How long a {@code DEBUG} line waits for others. */
  private static final long GATHER_MILLIS = 250;

  /** Larger writes to a pipe are not atomic, and readers of logs may cut them off. */
  private static final int MAX_WRITE_BYTES = 4_096;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong droppedLines = new AtomicLong();

  /** Has permits if lines must be written at once. */
  private final Semaphore urgentLines = new Semaphore(0);

  private final OutputStream output;
  private final String host;
  private final Thread writer;

  private EventLog(String host, OutputStream output) {
    this.host = host;
    this.output = output;
    this.writer = new Thread(this::writeLines, "log-writer");
  }

  /**
   * Starts a log.
   *
   * @param host the id of this host, written in each line
   * @param output the stream to which lines are written
   * @return the log
   */
  public static EventLog start(String host, OutputStream output) {
    var log = new EventLog(host, output);
    log.writer.setDaemon(true);
    log.writer.start();
    return log;
  }

  /**
   * Logs an event.
   *
   * @param code the event
   * @param fields the fields of the line, in order
   */
  public void log(EventCode code, ImmutableMap<String, Object> fields) {
    if (code.severity() == EventCode.Severity.DEBUG
        && lines.remainingCapacity() < RESERVED_CAPACITY) {
      droppedLines.incrementAndGet();
      return;
    }
    if (!lines.offer(format(code, fields))) {
      droppedLines.incrementAndGet();
    }
    if (code.severity() != EventCode.Severity.DEBUG) {
      urgentLines.release();
    }
  }

  /**
   * Returns the number of lines dropped since the last line that reported dropped lines.
   *
   * @return the number
   */
  public long droppedLines() {
    return droppedLines.get();
  }

  /**
   * Stops the writer after it has written the queued lines, or after a time-out.
   *
   * @throws InterruptedException if the calling thread is interrupted
   */
  public void close() throws InterruptedException {
    lines.offer(END_MARKER);
    urgentLines.release();
    writer.join(CLOSE_TIMEOUT_MILLIS);
  }

  private String format(EventCode code, ImmutableMap<String, Object> fields) {
    var line = new StringBuilder(160);
    line.append("ts=").append(System.currentTimeMillis());
    line.append(" host=").append(host);
    line.append(" event=").append(code.number());
    line.append(" severity=").append(code.severity());
    line.append(" text=\"").append(code.text()).append('"');
    for (Map.Entry<String, Object> field : fields.entrySet()) {
      line.append(' ').append(field.getKey()).append('=');
      appendValue(line, String.valueOf(field.getValue()));
    }
    return line.append('\n').toString();
  }

  private static void appendValue(StringBuilder line, String value) {
    boolean isPlain = !value.isEmpty();
    for (int i = 0; i < value.length() && isPlain; i++) {
      char c = value.charAt(i);
      isPlain = c > ' ' && c != '"' && c != '=' && c < 127;
    }
    if (isPlain) {
      line.append(value);
      return;
    }
    line.append('"');
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      line.append(c < ' ' || c == '"' ? '\'' : c);
    }
    line.append('"');
  }

  private void writeLines() {
    List<String> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(lines.take());
        boolean unused = urgentLines.tryAcquire(GATHER_MILLIS, TimeUnit.MILLISECONDS);
        urgentLines.drainPermits();
        lines.drainTo(batch);
        long droppedCount = droppedLines.getAndSet(0);
        if (droppedCount > 0) {
          batch.add(
              "ts="
                  + System.currentTimeMillis()
                  + " host="
                  + host
                  + " dropped="
                  + droppedCount
                  + "\n");
        }
        boolean ended = batch.remove(END_MARKER);
        write(batch);
        if (ended) {
          return;
        }
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The reader of the output is gone; the daemon continues without a log.
      droppedLines.incrementAndGet();
    }
  }

  /** Writes lines in as few writes as their limited size allows; a longer line has its own. */
  private void write(List<String> batch) throws IOException {
    var pending = new ByteArrayOutputStream(MAX_WRITE_BYTES);
    for (String line : batch) {
      byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
      if (pending.size() + bytes.length > MAX_WRITE_BYTES) {
        flush(pending);
      }
      pending.writeBytes(bytes);
    }
    flush(pending);
  }

  private void flush(ByteArrayOutputStream pending) throws IOException {
    if (pending.size() > 0) {
      output.write(pending.toByteArray());
      output.flush();
      pending.reset();
    }
  }
}
