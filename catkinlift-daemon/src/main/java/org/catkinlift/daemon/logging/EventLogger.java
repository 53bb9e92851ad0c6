package org.catkinlift.daemon.logging;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;
import org.catkinlift.daemon.settings.LoggingSettings;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.events.EventCode.Severity;

/** Writes decision events to the log, one line each. Thread-safe. */
public final class EventLogger {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final Severity level;
  private final RequestSampler sampler;

  /**
   * Creates a logger.
   *
   * @param settings the logging settings
   */
  public EventLogger(LoggingSettings settings) {
    this.level = settings.level();
    this.sampler = new RequestSampler(settings.requestEventSampling());
  }

  /**
   * Logs an event unless its severity is below the level or its request is not sampled. Sampling
   * does not apply to warnings and to events without a request.
   *
   * @param event the event
   */
  public void log(DecisionEvent event) {
    if (!isLoggable(event)) {
      return;
    }
    LOGGER.at(levelOf(event.code().severity())).log("%s", format(event));
  }

  /**
   * Returns the java.util.logging level of a severity.
   *
   * @param severity the severity
   * @return the level
   */
  static Level levelOf(Severity severity) {
    return switch (severity) {
      case DEBUG -> Level.FINE;
      case INFO -> Level.INFO;
      case WARNING -> Level.WARNING;
    };
  }

  /**
   * Formats an event.
   *
   * @param event the event
   * @return the line, without time stamp and line terminator
   */
  static String format(DecisionEvent event) {
    EventCode code = event.code();
    var line = new StringBuilder();
    LogFields.append(line, "event", Integer.toString(code.number()));
    LogFields.append(line, "severity", code.severity().name());
    LogFields.appendText(line, "text", code.text());
    event.fields().forEach((key, value) -> LogFields.append(line, key, value));
    return line.toString();
  }

  private boolean isLoggable(DecisionEvent event) {
    Severity severity = event.code().severity();
    if (severity.compareTo(level) < 0) {
      return false;
    }
    String request = event.fields().get(DecisionEvent.REQUEST_FIELD);
    return request == null || severity == Severity.WARNING || sampler.isSampled(request);
  }
}
