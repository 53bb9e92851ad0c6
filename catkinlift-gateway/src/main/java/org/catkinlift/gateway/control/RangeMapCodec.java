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
import java.util.Iterator;
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
 * Encodes the map of a keyed service as the content of a row: lines of words, each holder stated
 * once and named by its number afterwards. The lines are compressed, because every daemon gets each
 * new map.
 */
final class RangeMapCodec {
  private RangeMapCodec() {}

  static String encode(RangeMap map) {
    Map<Holder, Integer> numbers = new HashMap<>();
    var holders = new StringBuilder();
    var ranges = new StringBuilder();
    for (RangeAssignment assignment : map.assignments()) {
      ranges.append("range ").append(assignment.range().first());
      ranges.append(' ').append(assignment.range().last());
      ranges.append(' ').append(assignment.fence());
      ranges.append(' ').append(number(assignment.holder(), numbers, holders));
      for (Holder previous : assignment.previousHolders()) {
        ranges.append(' ').append(number(previous, numbers, holders));
      }
      ranges.append('\n');
    }
    return compressed("fence " + map.nextFence() + "\n" + holders + ranges);
  }

  static String compressed(String text) {
    var bytes = new ByteArrayOutputStream();
    try (var deflater = new DeflaterOutputStream(bytes)) {
      deflater.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException("compression in memory failed", e);
    }
    return Base64.getEncoder().encodeToString(bytes.toByteArray());
  }

  private static String expanded(String text) {
    var bytes = new ByteArrayInputStream(Base64.getDecoder().decode(text));
    try (var inflater = new InflaterInputStream(bytes)) {
      return new String(inflater.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalArgumentException("range map is not compressed text", e);
    }
  }

  private static int number(Holder holder, Map<Holder, Integer> numbers, StringBuilder text) {
    Integer known = numbers.get(holder);
    if (known != null) {
      return known;
    }
    int number = numbers.size();
    numbers.put(holder, number);
    text.append("holder ").append(holder.upstream()).append(' ').append(holder.startedMillis());
    text.append(' ').append(holder.address().ip()).append(' ').append(holder.address().port());
    text.append('\n');
    return number;
  }

  /**
   * Decodes a map.
   *
   * @throws RuntimeException if the text is malformed
   */
  static RangeMap decode(String text) {
    long nextFence = 1;
    List<Holder> holders = new ArrayList<>();
    ImmutableList.Builder<RangeAssignment> assignments = ImmutableList.builder();
    for (Iterator<String> lines = expanded(text).lines().iterator(); lines.hasNext(); ) {
      String[] words = lines.next().split(" ", -1);
      switch (words[0]) {
        case "fence" -> nextFence = Long.parseLong(words[1]);
        case "holder" ->
            holders.add(
                new Holder(
                    UpstreamId.of(words[1]),
                    Long.parseLong(words[2]),
                    NetworkAddress.of(words[3], Integer.parseInt(words[4]))));
        case "range" -> assignments.add(assignment(words, holders));
        default -> {}
      }
    }
    return new RangeMap(nextFence, assignments.build());
  }

  private static RangeAssignment assignment(String[] words, List<Holder> holders) {
    ImmutableList.Builder<Holder> previous = ImmutableList.builder();
    for (int i = 5; i < words.length; i++) {
      previous.add(holders.get(Integer.parseInt(words[i])));
    }
    return new RangeAssignment(
        new KeyRange(Integer.parseInt(words[1]), Integer.parseInt(words[2])),
        holders.get(Integer.parseInt(words[4])),
        Long.parseLong(words[3]),
        previous.build());
  }
}
