package org.catkinlift.daemon;

import java.nio.file.Path;

/** The task that the arguments of {@code catkinliftd} request. */
sealed interface DaemonTask {

  /** Prints the help text. */
  record PrintHelp() implements DaemonTask {}

  /** Prints the version. */
  record PrintVersion() implements DaemonTask {}

  /**
   * Validates a settings file without starting the daemon.
   *
   * @param settings the settings file
   */
  record CheckSettings(Path settings) implements DaemonTask {}

  /**
   * Runs the daemon until the process is told to stop.
   *
   * @param settings the settings file
   */
  record RunDaemon(Path settings) implements DaemonTask {}
}
