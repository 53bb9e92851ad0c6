package org.catkinlift.daemon;

import java.nio.file.Path;

/** States what the arguments of {@code catkinliftd} ask for. */
sealed interface DaemonTask {

  /** Prints the help text. */
  record PrintHelp() implements DaemonTask {}

  /** Prints the version. */
  record PrintVersion() implements DaemonTask {}

  /**
   * Checks a settings file.
   *
   * @param settings the file
   */
  record CheckSettings(Path settings) implements DaemonTask {}

  /**
   * Runs the daemon until it is asked to stop.
   *
   * @param settings the file
   */
  record RunDaemon(Path settings) implements DaemonTask {}
}
