package org.catkinlift.cli;

import com.google.common.collect.ImmutableList;

/** Reports why a command cannot be carried out. */
final class CliException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is wrong. */
  enum Code {
    /** A file that the arguments name cannot be used. */
    BAD_FILE,
    /** The daemon cannot be reached; a request may have taken effect. */
    UNREACHABLE,
    /** The daemon does not accept the token. */
    UNAUTHORIZED,
    /** The daemon refused the request as malformed. */
    REFUSED,
    /** The daemon's answer cannot be read. */
    INVALID_RESPONSE
  }

  private final Code code;
  private final transient ImmutableList<String> lines;

  CliException(Code code, ImmutableList<String> lines) {
    super(String.join("; ", lines));
    this.code = code;
    this.lines = lines;
  }

  CliException(Code code, String line) {
    this(code, ImmutableList.of(line));
  }

  CliException(Code code, String line, Throwable cause) {
    this(code, line);
    initCause(cause);
  }

  Code code() {
    return code;
  }

  /**
   * Returns what to print.
   *
   * @return one line for each error
   */
  ImmutableList<String> lines() {
    return lines;
  }
}
