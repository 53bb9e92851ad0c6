package org.catkinlift.gateway.traffic;

import java.util.Optional;
import org.catkinlift.admission.ReportedLoad;

/**
 * Parses the load header of an upstream's response: the numbers of running requests, of waiting
 * requests and of slots, and optionally the current service time in percent of the typical one.
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
      // A malformed load header is ignored; the response itself is still valid.
      return Optional.empty();
    }
  }
}
