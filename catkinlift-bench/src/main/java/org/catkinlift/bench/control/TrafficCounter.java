package org.catkinlift.bench.control;

import java.util.TreeMap;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.protocol.PeerMessageCodec;

/** Counts the messages and bytes that a daemon sends or receives, by message type. */
final class TrafficCounter {
  private static final int LENGTH_PREFIX_BYTES = 4;

  /**
   * The size of the IPv4 and TCP headers, including TCP timestamps. Adding it to each message
   * assumes one packet per frame.
   */
  static final int PACKET_HEADER_BYTES = 52;

  private final TreeMap<String, long[]> counts = new TreeMap<>();

  static int frameSize(PeerMessage message) {
    return PeerMessageCodec.encode(message).getSerializedSize() + LENGTH_PREFIX_BYTES;
  }

  void count(PeerMessage message, int bytes) {
    long[] count = counts.computeIfAbsent(message.getClass().getSimpleName(), k -> new long[2]);
    count[0]++;
    count[1] += bytes;
  }

  void reset() {
    counts.clear();
  }

  long messages() {
    return counts.values().stream().mapToLong(c -> c[0]).sum();
  }

  long bytes() {
    return counts.values().stream().mapToLong(c -> c[1]).sum();
  }

  /** Returns a JSON object with the bytes per second of each message type. */
  String bytesPerSecondByType(long seconds) {
    var json = new StringBuilder("{");
    counts.forEach(
        (type, count) ->
            json.append(json.length() > 1 ? "," : "")
                .append('"')
                .append(type)
                .append("\":")
                .append(count[1] / seconds));
    return json.append('}').toString();
  }
}
