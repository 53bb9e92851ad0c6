package org.catkinlift.cli;

import com.google.common.collect.ImmutableList;

/** Thrown when a command cannot be carried out. */
final class CliException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Kinds of failure. */
  enum Code {
    /** A file named on the command line cannot be read or has invalid content. */
    BAD_FILE,
    /** No response from the daemon; the request may have taken effect nevertheless. */
    UNREACHABLE,
    /** The daemon rejected the operator token. */
    UNAUTHORIZED,
    /** The daemon rejected the request as malformed. */
    REFUSED,
    /** The daemon's response cannot be decoded. */
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
   * Returns the messages to print.
   *
   * @return one line per error
   */
  ImmutableList<String> lines() {
    return lines;
  }
}
