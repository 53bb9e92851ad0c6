package org.catkinlift.gateway.logging;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.catkinlift.events.EventCode;

/**
 * Writes one structured line for each event, without ever blocking the thread that logs.
 *
 * <p>Lines wait in a bounded queue for a writer thread. When the queue is half full, lines of
 * successful requests are dropped; when it is full, all are. The next line that is written states
 * how many were dropped.
 */
public final class EventLog {
  private static final int CAPACITY = 4_096;
  private static final long CLOSE_MILLIS = 300;
  private static final String LAST_LINE = "";
  private static final int ROOM_FOR_FAILURES = CAPACITY / 2;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
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
   * @param host the name of this host, stated in each line
   * @param output where lines go
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
   * @param code which event
   * @param fields its details, in order
   */
  public void log(EventCode code, ImmutableMap<String, Object> fields) {
    if (code.severity() == EventCode.Severity.DEBUG
        && lines.remainingCapacity() < ROOM_FOR_FAILURES) {
      dropped.incrementAndGet();
      return;
    }
    if (!lines.offer(format(code, fields))) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Returns how many lines were dropped since the last one that said so.
   *
   * @return the number
   */
  public long droppedLines() {
    return dropped.get();
  }

  /**
   * Writes what still waits, for a short time, and ends the log.
   *
   * @throws InterruptedException if the calling thread is interrupted
   */
  public void close() throws InterruptedException {
    lines.offer(LAST_LINE);
    writer.join(CLOSE_MILLIS);
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
    boolean plain = !value.isEmpty();
    for (int i = 0; i < value.length() && plain; i++) {
      char c = value.charAt(i);
      plain = c > ' ' && c != '"' && c != '=' && c < 127;
    }
    if (plain) {
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
        lines.drainTo(batch);
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
          batch.add(
              "ts=" + System.currentTimeMillis() + " host=" + host + " dropped=" + lost + "\n");
        }
        boolean ended = batch.remove(LAST_LINE);
        output.write(String.join("", batch).getBytes(StandardCharsets.UTF_8));
        output.flush();
        if (ended) {
          return;
        }
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // Nobody reads standard output any more; the daemon goes on without a log.
      dropped.incrementAndGet();
    }
  }
}
