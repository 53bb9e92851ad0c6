package org.catkinlift.daemon;

import java.util.Arrays;

/** The exit codes of the daemon and of the command-line client. */
public enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** The command was executed and failed. */
  FAILED(1),
  /** The arguments or the settings are invalid; nothing was executed. */
  BAD_USAGE(2);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the numeric exit status of the process.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns the exit code with the given number.
   *
   * @param number the number
   * @return the exit code; {@code FAILED} if no exit code has this number
   */
  public static ExitCode of(int number) {
    return Arrays.stream(values()).filter(c -> c.number == number).findFirst().orElse(FAILED);
  }
}
