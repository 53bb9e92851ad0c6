package org.catkinlift.daemon.logging;

import com.google.common.base.CharMatcher;
import com.google.common.escape.Escaper;
import com.google.common.escape.Escapers;

/** Formats {@code key=value} fields so that every line can be parsed unambiguously. */
final class LogFields {
  private static final CharMatcher UNQUOTED =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("-._:/,+@[]"))
          .precomputed();

  /** Prevents log injection: callers choose some of the values, such as request ids. */
  private static final Escaper ESCAPER =
      Escapers.builder()
          .addEscape('"', "\\\"")
          .addEscape('\\', "\\\\")
          .addEscape('\n', "\\n")
          .addEscape('\r', "\\r")
          .addEscape('\t', "\\t")
          .build();

  private LogFields() {}

  /**
   * Appends a field, separated by a space from the previous one.
   *
   * @param line the line to append to
   * @param key the key
   * @param value the value; quoted if it is empty or has characters that need quoting
   */
  static void append(StringBuilder line, String key, String value) {
    if (!line.isEmpty()) {
      line.append(' ');
    }
    line.append(key).append('=');
    if (!value.isEmpty() && UNQUOTED.matchesAllOf(value)) {
      line.append(value);
      return;
    }
    appendQuoted(line, value);
  }

  /**
   * Appends a field whose value is always quoted.
   *
   * @param line the line to append to
   * @param key the key
   * @param text the value
   */
  static void appendText(StringBuilder line, String key, String text) {
    if (!line.isEmpty()) {
      line.append(' ');
    }
    line.append(key).append('=');
    appendQuoted(line, text);
  }

  private static void appendQuoted(StringBuilder line, String text) {
    String printable =
        CharMatcher.javaIsoControl().and(CharMatcher.noneOf("\n\r\t")).removeFrom(text);
    line.append('"').append(ESCAPER.escape(printable)).append('"');
  }
}
