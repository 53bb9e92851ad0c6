package org.catkinlift.daemon.logging;

import com.google.common.base.Throwables;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats log records as one line of {@code key=value} fields.
 *
 * <p>Decision events are already formatted, so only the time is added. The stack trace of an
 * exception follows on separate lines.
 */
final class LineFormatter extends Formatter {
  private static final DateTimeFormatter TIME =
      new DateTimeFormatterBuilder().appendInstant(3).toFormatter();
  private static final String EVENT_LOGGER = EventLogger.class.getName();

  LineFormatter() {}

  @Override
  public String format(LogRecord record) {
    var line = new StringBuilder();
    LogFields.append(line, "time", TIME.format(record.getInstant()));
    if (EVENT_LOGGER.equals(record.getLoggerName())) {
      return line.append(' ').append(formatMessage(record)).append('\n').toString();
    }
    LogFields.append(line, "severity", record.getLevel().getName());
    LogFields.append(line, "logger", String.valueOf(record.getLoggerName()));
    LogFields.appendText(line, "text", String.valueOf(formatMessage(record)));
    line.append('\n');
    if (record.getThrown() != null) {
      line.append(Throwables.getStackTraceAsString(record.getThrown()));
    }
    return line.toString();
  }
}
