package org.catkinlift.gateway.traffic;

import java.util.Optional;
import org.catkinlift.admission.ReportedLoad;

/**
 * Reads the load that an upstream states in an answer: the requests that run, those that wait, the
 * slots, and optionally how long work takes at the moment in percent of usual.
 */
final class LoadHeader {
  private static final int NORMAL_PERCENT = 100;
  private static final int REQUIRED_FIGURES = 3;

  private LoadHeader() {}

  static Optional<ReportedLoad> parse(String text) {
    if (text == null) {
      return Optional.empty();
    }
    String[] figures = text.split(",", -1);
    if (figures.length < REQUIRED_FIGURES) {
      return Optional.empty();
    }
    try {
      double percent =
          figures.length > REQUIRED_FIGURES
              ? Double.parseDouble(figures[REQUIRED_FIGURES].trim())
              : NORMAL_PERCENT;
      return Optional.of(
          new ReportedLoad(
              Integer.parseInt(figures[0].trim()),
              Integer.parseInt(figures[1].trim()),
              Integer.parseInt(figures[2].trim()),
              percent / NORMAL_PERCENT));
    } catch (NumberFormatException e) {
      // A malformed load is no load; the answer itself is still good.
      return Optional.empty();
    }
  }
}
