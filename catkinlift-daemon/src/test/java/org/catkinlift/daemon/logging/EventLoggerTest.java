package org.catkinlift.daemon.logging;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.internal.logging.LoggerFactory;
import java.io.ByteArrayOutputStream;
import java.util.stream.IntStream;
import org.catkinlift.daemon.settings.LoggingSettings;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.events.EventCode.Severity;
import org.junit.jupiter.api.Test;

final class EventLoggerTest {
  private static final FluentLogger FLOGGER = FluentLogger.forEnclosingClass();

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private EventLogger logger(Severity level, double sampling) {
    var settings = new LoggingSettings(level, sampling);
    LoggingSetup.install(settings, out);
    return new EventLogger(settings);
  }

  private String text() {
    return out.toString(UTF_8);
  }

  private static DecisionEvent event(EventCode code, String request) {
    return DecisionEvent.of(code, DecisionEvent.REQUEST_FIELD, request);
  }

  /** Guards against log injection: values from callers that forge a line or a field. */
  @Test
  void writesOneLineWhateverTheValues() {
    logger(Severity.DEBUG, 1)
        .log(
            DecisionEvent.of(
                EventCode.REQUEST_REFUSED,
                "request",
                "a\nevent=9 \"{0}\" %s",
                "code",
                "QUEUE_FULL"));
    assertThat(text())
        .matches(
            "time=\\S+Z event=1002 severity=INFO text=\"request refused\""
                + " request=\"a\\\\nevent=9 \\\\\"\\{0}\\\\\" %s\" code=QUEUE_FULL\n");
  }

  /** Guards against logged events with a severity below the level. */
  @Test
  void dropsEventsBelowTheLevel() {
    var logger = logger(Severity.INFO, 1);
    logger.log(event(EventCode.REQUEST_ROUTED, "r"));
    assertThat(text()).isEmpty();
    logger.log(event(EventCode.REQUEST_REFUSED, "r"));
    assertThat(text()).contains("event=1002");
  }

  /** Guards against sampling that differs between daemons or misses the configured rate. */
  @Test
  void samplesRequestsDeterministically() {
    var sampler = new RequestSampler(0.25);
    var otherSampler = new RequestSampler(0.25);
    long sampled =
        IntStream.range(0, 10_000).filter(i -> sampler.isSampled("request-" + i)).count();
    assertThat((double) sampled).isWithin(200).of(2_500);
    assertThat(
            IntStream.range(0, 1_000)
                .allMatch(i -> sampler.isSampled("" + i) == otherSampler.isSampled("" + i)))
        .isTrue();
  }

  /** Guards against sampling that drops warnings or events without a request. */
  @Test
  void neverSamplesWarningsAndEventsWithoutRequest() {
    var logger = logger(Severity.DEBUG, 0);
    logger.log(event(EventCode.REQUEST_REFUSED, "r"));
    assertThat(text()).isEmpty();
    logger.log(event(EventCode.REQUEST_UNKNOWN, "r"));
    logger.log(DecisionEvent.of(EventCode.SLOT_ASSIGNED, "slot", 7));
    assertThat(text().lines().count()).isEqualTo(2);
  }

  /** Guards against messages of Vert.x or Flogger that bypass the log format or the level. */
  @Test
  void formatsLibraryMessagesLikeEvents() {
    logger(Severity.INFO, 1);
    LoggerFactory.getLogger("io.vertx.test").warn("pool is full", new IllegalStateException("x"));
    LoggerFactory.getLogger("io.vertx.test").info("not wanted");
    FLOGGER.atInfo().log("hello");
    assertThat(text()).contains(" severity=WARNING logger=io.vertx.test text=\"pool is full\"\n");
    assertThat(text()).contains("\njava.lang.IllegalStateException: x\n");
    assertThat(text())
        .contains("logger=org.catkinlift.daemon.logging.EventLoggerTest text=\"hello\"");
    assertThat(text()).doesNotContain("not wanted");
  }
}
