package org.catkinlift.gateway.control;

import java.util.Optional;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.ranges.LeaseRow;

/** Encodes the row of the coordinator role as one line of words. */
final class LeaseRowCodec {
  private static final int WORDS = 5;

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

  /** Decodes the row; an empty value states that nobody has the role. */
  static Optional<LeaseRow> decode(String text) {
    String[] words = text.split(" ", -1);
    if (words.length != WORDS) {
      return Optional.empty();
    }
    return Optional.of(
        new LeaseRow(
            HostId.of(words[0]),
            Long.parseLong(words[1]),
            Long.parseLong(words[2]),
            NetworkAddress.of(words[3], Integer.parseInt(words[4]))));
  }
}
