package org.catkinlift.daemon;

import java.util.Arrays;

/** The exit codes of both command lines. */
public enum ExitCode {
  /** What was asked for was done. */
  DONE(0),
  /** It was tried and failed. */
  FAILED(1),
  /** The arguments or the settings cannot be used; nothing was tried. */
  BAD_USAGE(2);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the exit code of the process.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns the exit code with a number.
   *
   * @param number the number
   * @return the exit code; {@code FAILED} for a number that no exit code has
   */
  public static ExitCode of(int number) {
    return Arrays.stream(values()).filter(c -> c.number == number).findFirst().orElse(FAILED);
  }
}
