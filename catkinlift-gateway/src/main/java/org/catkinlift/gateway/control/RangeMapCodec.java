package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.Holder;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.ranges.RangeAssignment;
import org.catkinlift.ranges.RangeMap;

/**
 * Encodes the range map of a keyed service as the value of a row: lines of space-separated fields,
 * in which each holder is listed once and ranges refer to it by index. The lines are compressed,
 * because each new map is sent to every daemon.
 */
final class RangeMapCodec {
  /** Fits all keys in ranges of one key each; compressed text of a row could expand further. */
  private static final int MAX_MAP_BYTES = 4 << 20;

  private RangeMapCodec() {}

  static String encode(RangeMap map) {
    Map<Holder, Integer> holderIndexes = new HashMap<>();
    var holders = new StringBuilder();
    var ranges = new StringBuilder();
    for (RangeAssignment assignment : map.assignments()) {
      ranges.append("range ").append(assignment.range().first());
      ranges.append(' ').append(assignment.range().last());
      ranges.append(' ').append(assignment.fence());
      ranges.append(' ').append(holderIndex(assignment.holder(), holderIndexes, holders));
      for (Holder previousHolder : assignment.previousHolders()) {
        ranges.append(' ').append(holderIndex(previousHolder, holderIndexes, holders));
      }
      ranges.append('\n');
    }
    return compress("fence " + map.nextFence() + "\n" + holders + ranges);
  }

  static String compress(String text) {
    var bytes = new ByteArrayOutputStream();
    try (var deflater = new DeflaterOutputStream(bytes)) {
      deflater.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException("compression in memory failed", e);
    }
    return Base64.getEncoder().encodeToString(bytes.toByteArray());
  }

  private static String decompress(String text) {
    var bytes = new ByteArrayInputStream(Base64.getDecoder().decode(text));
    try (var inflater = new InflaterInputStream(bytes)) {
      byte[] decompressed = inflater.readNBytes(MAX_MAP_BYTES + 1);
      if (decompressed.length > MAX_MAP_BYTES) {
        throw new IllegalArgumentException("range map is longer than " + MAX_MAP_BYTES + " bytes");
      }
      return new String(decompressed, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalArgumentException("range map is not compressed text", e);
    }
  }

  private static int holderIndex(
      Holder holder, Map<Holder, Integer> holderIndexes, StringBuilder out) {
    Integer existing = holderIndexes.get(holder);
    if (existing != null) {
      return existing;
    }
    int index = holderIndexes.size();
    holderIndexes.put(holder, index);
    out.append("holder ").append(holder.upstream()).append(' ').append(holder.startedMillis());
    out.append(' ').append(holder.address().ip()).append(' ').append(holder.address().port());
    out.append('\n');
    return index;
  }

  /**
   * Decodes a range map.
   *
   * @throws RuntimeException if the text is malformed
   */
  static RangeMap decode(String text) {
    long nextFence = 1;
    List<Holder> holders = new ArrayList<>();
    ImmutableList.Builder<RangeAssignment> assignments = ImmutableList.builder();
    String lines = decompress(text);
    int start = 0;
    while (start < lines.length()) {
      int newline = lines.indexOf('\n', start);
      int end = newline < 0 ? lines.length() : newline;
      var fields = new Fields(lines, start, end);
      switch (fields.nextText()) {
        case "fence" -> nextFence = fields.nextLong();
        case "holder" ->
            holders.add(
                new Holder(
                    UpstreamId.of(fields.nextText()),
                    fields.nextLong(),
                    NetworkAddress.of(fields.nextText(), fields.nextInt())));
        case "range" -> assignments.add(parseAssignment(fields, holders));
        default -> {}
      }
      start = end + 1;
    }
    return new RangeMap(nextFence, assignments.build());
  }

  private static RangeAssignment parseAssignment(Fields fields, List<Holder> holders) {
    var range = new KeyRange(fields.nextInt(), fields.nextInt());
    long fence = fields.nextLong();
    Holder holder = holders.get(fields.nextInt());
    ImmutableList.Builder<Holder> previousHolders = ImmutableList.builder();
    while (fields.hasNext()) {
      previousHolders.add(holders.get(fields.nextInt()));
    }
    return new RangeAssignment(range, holder, fence, previousHolders.build());
  }

  /** Reads the fields of a line without a copy of each. */
  private static final class Fields {
    private final String lines;
    private final int end;
    private int next;

    private Fields(String lines, int start, int end) {
      this.lines = lines;
      this.end = end;
      this.next = start;
    }

    private boolean hasNext() {
      return next <= end;
    }

    /** Returns the end of the field that starts at {@code next}. */
    private int fieldEnd() {
      if (!hasNext()) {
        throw new IllegalArgumentException("a line of the range map has too few fields");
      }
      int space = lines.indexOf(' ', next, end);
      return space < 0 ? end : space;
    }

    private String nextText() {
      int fieldEnd = fieldEnd();
      String field = lines.substring(next, fieldEnd);
      next = fieldEnd + 1;
      return field;
    }

    private int nextInt() {
      int fieldEnd = fieldEnd();
      int value = Integer.parseInt(lines, next, fieldEnd, 10);
      next = fieldEnd + 1;
      return value;
    }

    private long nextLong() {
      int fieldEnd = fieldEnd();
      long value = Long.parseLong(lines, next, fieldEnd, 10);
      next = fieldEnd + 1;
      return value;
    }
  }
}
