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

  /** No upstream has more requests; larger figures would distort averages for a long time. */
  private static final int MAX_REQUESTS = 100_000;

  private static final double MAX_PERCENT = 100_000;

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
      if (!(percent > 0 && percent <= MAX_PERCENT)) {
        return Optional.empty();
      }
      return Optional.of(
          new ReportedLoad(
              requests(fields[0]),
              requests(fields[1]),
              requests(fields[2]),
              percent / TYPICAL_PERCENT));
    } catch (NumberFormatException e) {
      // A malformed load header is ignored; the response itself is still valid.
      return Optional.empty();
    }
  }

  private static int requests(String field) {
    int value = Integer.parseInt(field.trim());
    if (value < 0 || value > MAX_REQUESTS) {
      throw new NumberFormatException("out of range: " + value);
    }
    return value;
  }
}
