package org.catkinlift.daemon;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.daemon.settings.SettingsException;
import org.catkinlift.daemon.settings.SettingsReader;

/** Reads a settings file and prints its errors. */
final class SettingsCheck {
  private SettingsCheck() {}

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @param err receives one line for each error
   * @return the settings; empty if the file has errors
   */
  static Optional<DaemonSettings> read(Path file, PrintStream err) {
    try {
      return Optional.of(SettingsReader.read(file));
    } catch (SettingsException e) {
      e.errors().forEach(err::println);
      return Optional.empty();
    }
  }
}
