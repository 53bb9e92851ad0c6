package org.catkinlift.gateway.logging;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.catkinlift.events.EventCode;
import org.junit.jupiter.api.Test;

/** Guards against a log that blocks the logging thread or splits one event into several lines. */
final class EventLogTest {
  private static final int MORE_THAN_CAPACITY = 20_000;

  /** An output whose writes block, like a pipe that nobody reads. */
  private static final class BlockingOutput extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);
    private final CountDownLatch writeStarted = new CountDownLatch(1);

    @Override
    public void write(int b) {
      writeStarted.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Test
  void blockedOutputDoesNotBlockLoggingAndDropsDebugLinesFirst() throws Exception {
    var output = new BlockingOutput();
    EventLog log = EventLog.start("host-1", output);
    log.log(EventCode.REQUEST_ANSWERED, ImmutableMap.of());
    output.writeStarted.await();
    for (int i = 0; i < MORE_THAN_CAPACITY; i++) {
      log.log(EventCode.REQUEST_ANSWERED, ImmutableMap.of("request", i));
    }
    long dropped = log.droppedLines();
    log.log(EventCode.REQUEST_REFUSED, ImmutableMap.of("request", "r1"));

    assertThat(dropped).isGreaterThan(0);
    assertThat(log.droppedLines()).isEqualTo(dropped);
    output.released.countDown();
  }

  @Test
  void eachEventIsWrittenAsOneLine() throws Exception {
    var output = new ByteArrayOutputStream();
    EventLog log = EventLog.start("host-1", output);
    log.log(
        EventCode.REQUEST_REFUSED,
        ImmutableMap.of("request", "r 1", "reason", "a\nb\"c", "status", 503));
    log.close();

    String text = output.toString(StandardCharsets.UTF_8);
    assertThat(text.lines().count()).isEqualTo(1);
    assertThat(text).contains("event=1002 severity=INFO text=\"request refused\"");
    assertThat(text).contains("request=\"r 1\" reason=\"a'b'c\" status=503");
  }

  /** Guards against lines that are lost when many events are logged at once. */
  @Test
  void manyLinesAreWrittenInBoundedWrites() throws Exception {
    var output = new RecordingOutput();
    EventLog log = EventLog.start("host-1", output);
    for (int i = 0; i < 200; i++) {
      log.log(EventCode.REQUEST_REFUSED, ImmutableMap.of("request", "r" + i));
    }
    log.close();

    assertThat(Collections.max(output.writeLengths)).isAtMost(4_096);
    assertThat(output.lines).isEqualTo(200);
  }

  /** Guards against a wake-up and a write for each answered request. */
  @Test
  void linesOfAnsweredRequestsShareAWrite() throws Exception {
    var output = new RecordingOutput();
    EventLog log = EventLog.start("host-1", output);
    for (int i = 0; i < 20; i++) {
      log.log(EventCode.REQUEST_ANSWERED, ImmutableMap.of("request", "r" + i));
      TimeUnit.MILLISECONDS.sleep(1);
    }
    log.close();

    assertThat(output.lines).isEqualTo(20);
    assertThat(output.writeLengths.size()).isLessThan(10);
  }

  /** Records the length of each write. */
  private static final class RecordingOutput extends OutputStream {
    private final List<Integer> writeLengths = new ArrayList<>();
    private int lines;

    @Override
    public void write(int b) {
      throw new UnsupportedOperationException("single bytes are not expected");
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      writeLengths.add(length);
      for (int i = offset; i < offset + length; i++) {
        lines += bytes[i] == '\n' ? 1 : 0;
      }
    }
  }
}
