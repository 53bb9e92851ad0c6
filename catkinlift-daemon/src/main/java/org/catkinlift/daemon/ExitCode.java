package org.catkinlift.daemon;

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
}
