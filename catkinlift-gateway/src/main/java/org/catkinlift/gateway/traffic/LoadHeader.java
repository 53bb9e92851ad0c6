package org.catkinlift.gateway.traffic;

import java.util.Optional;
import org.catkinlift.admission.ReportedLoad;

/**
 * Reads the load that an upstream states in an answer: the requests that run, those that wait, the
 * slots, and optionally how long work takes at the moment in percent of usual.
 */
final class LoadHeader {
  private static final int TYPICAL_PERCENT = 100;
  private static final int REQUIRED_FIELDS = 3;

  private LoadHeader() {}

  static Optional<ReportedLoad> parse(String text) {
    if (text == null) {
      return Optional.empty();
    }
    String[] fields = text.split(",", -1);
    if (fields.length < REQUIRED_FIELDS) {
      return Optional.empty();
    }
    try {
      double percent =
          fields.length > REQUIRED_FIELDS
              ? Double.parseDouble(fields[REQUIRED_FIELDS].trim())
              : TYPICAL_PERCENT;
      return Optional.of(
          new ReportedLoad(
              Integer.parseInt(fields[0].trim()),
              Integer.parseInt(fields[1].trim()),
              Integer.parseInt(fields[2].trim()),
              percent / TYPICAL_PERCENT));
    } catch (NumberFormatException e) {
      // A malformed load is no load; the answer itself is still good.
      return Optional.empty();
    }
  }
}
