package org.catkinlift.gateway.control;

import java.util.Optional;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.ranges.LeaseRow;

/** Encodes the lease row of the coordinator role as one line of space-separated fields. */
final class LeaseRowCodec {
  private static final int FIELD_COUNT = 5;

  private LeaseRowCodec() {}

  static String encode(LeaseRow row) {
    return String.join(
        " ",
        row.holder().value(),
        Long.toString(row.incarnation()),
        Long.toString(row.sequence()),
        row.peerAddress().ip(),
        Integer.toString(row.peerAddress().port()));
  }

  /** Decodes the row; empty if no daemon holds the role, or if no daemon can have written it. */
  static Optional<LeaseRow> decode(String text) {
    String[] fields = text.split(" ", -1);
    if (fields.length != FIELD_COUNT) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new LeaseRow(
              HostId.of(fields[0]),
              Long.parseLong(fields[1]),
              Long.parseLong(fields[2]),
              NetworkAddress.of(fields[3], Integer.parseInt(fields[4]))));
    } catch (NumberFormatException | ModelException e) {
      // Written by no daemon; the role is free, and the next claim replaces the row.
      return Optional.empty();
    }
  }
}
