package org.catkinlift.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.model.ServiceName;
import org.catkinlift.ranges.GrantProgress;
import org.catkinlift.ranges.GrantResult;
import org.junit.jupiter.api.Test;

/** Guards against an overloaded coordinator whose log does not show what it is busy with. */
final class CoordinatorLoadLogTest {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = EventLog.start("host-1", output);
  private final CoordinatorLoadLog loadLog = new CoordinatorLoadLog(log, ServiceName.of("desk"), 0);

  private void round(Duration start, Duration length) {
    loadLog.roundEnded(new GrantProgress(12, 10, 3), start.toNanos(), start.plus(length).toNanos());
  }

  private String writtenLines() throws InterruptedException {
    log.close();
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void oneLineSumsUpTheRoundsAndCallsOfASecond() throws Exception {
    loadLog.callEnded(new GrantResult.Done(Optional.empty()));
    loadLog.callEnded(new GrantResult.Outdated());
    loadLog.callEnded(new GrantResult.NotSent("connection timed out"));
    loadLog.callEnded(new GrantResult.Unanswered("no response"));
    loadLog.mapWriteStarted();
    round(Duration.ofMillis(50), Duration.ofMillis(20));
    round(Duration.ofMillis(990), Duration.ofMillis(30));
    round(Duration.ofMillis(1_040), Duration.ofMillis(10));

    String lines = writtenLines();
    assertThat(lines.lines().count()).isEqualTo(1);
    assertThat(lines)
        .contains(
            "service=desk ranges=12 granted=10 open=3 confirmed=1 rejected=1 not_sent=1 unanswered=1 writes=1"
                + " decision_ms=50 max_gap_ms=940");
  }
}
