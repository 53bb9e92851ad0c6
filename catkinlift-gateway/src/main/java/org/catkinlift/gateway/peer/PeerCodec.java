package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.gateway.store.NewsRow;
import org.catkinlift.gateway.store.NewsVersions;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/** Encodes the messages between daemons as lines of words. Lines of unknown kinds are skipped. */
public final class PeerCodec {
  /** Where a daemon takes reports. */
  public static final String REPORT_PATH = "/report";

  private static final double MILLIONTHS = 1e6;

  /** Stands for the content of a removed row; no content is encoded like this. */
  private static final String REMOVED = "-";

  private static final double PER_MILLE = 1e3;

  private PeerCodec() {}

  /**
   * Encodes a report.
   *
   * @param report the report
   * @return the text
   */
  public static String encode(LoadReport report) {
    var text = new StringBuilder();
    text.append("host ").append(report.host());
    text.append(' ').append(inMillionths(report.processor())).append('\n');
    appendNews(text, report.news());
    for (LoadReport.KeyWork work : report.work()) {
      text.append("work ").append(work.service()).append(' ').append(work.key());
      text.append(' ').append(work.priority());
      text.append(' ').append(inMillionths(work.seconds())).append('\n');
    }
    report
        .speeds()
        .forEach(
            (upstream, times) ->
                text.append("speed ")
                    .append(upstream)
                    .append(' ')
                    .append(inMillionths(times.measuredSeconds()))
                    .append(' ')
                    .append(inMillionths(times.usualSeconds()))
                    .append('\n'));
    return text.toString();
  }

  /**
   * Decodes a report.
   *
   * @param text the text
   * @return the report
   * @throws IllegalArgumentException if a line is malformed
   */
  public static LoadReport decodeReport(String text) {
    HostId host = null;
    double processor = 0;
    var news = new NewsVersions(0, 0, 0);
    ImmutableList.Builder<LoadReport.KeyWork> work = ImmutableList.builder();
    ImmutableMap.Builder<UpstreamId, LoadReport.WorkTimes> speeds = ImmutableMap.builder();
    for (Iterator<String> lines = text.lines().iterator(); lines.hasNext(); ) {
      String[] words = lines.next().split(" ", -1);
      switch (words[0]) {
        case "host" -> {
          host = HostId.of(word(words, 1));
          processor = fromMillionths(word(words, 2));
        }
        case "news" -> news = news(words);
        case "work" ->
            work.add(
                new LoadReport.KeyWork(
                    ServiceName.of(word(words, 1)),
                    Integer.parseInt(word(words, 2)),
                    Integer.parseInt(word(words, 3)),
                    fromMillionths(word(words, 4))));
        case "speed" ->
            speeds.put(
                UpstreamId.of(word(words, 1)),
                new LoadReport.WorkTimes(
                    fromMillionths(word(words, 2)), fromMillionths(word(words, 3))));
        default -> {}
      }
    }
    if (host == null) {
      throw new IllegalArgumentException("report without a host");
    }
    return new LoadReport(host, processor, news, work.build(), speeds.buildKeepingLast());
  }

  /**
   * Encodes a reply.
   *
   * @param reply the reply
   * @return the text
   */
  public static String encode(CoordinatorReply reply) {
    var text = new StringBuilder();
    text.append("coordinator ").append(reply.host()).append(' ').append(reply.hasRole());
    text.append(' ').append(reply.leaseVersion()).append(' ').append(reply.daemons());
    text.append(' ').append(inMillionths(reply.strongestProcessor())).append('\n');
    appendNews(text, reply.news());
    reply
        .shares()
        .byUpstream()
        .forEach(
            (upstream, ranks) ->
                ranks.forEach(
                    (rank, share) ->
                        text.append("share ")
                            .append(upstream)
                            .append(' ')
                            .append(rank)
                            .append(' ')
                            .append(Math.round(share * PER_MILLE))
                            .append('\n')));
    text.append("passes ").append(reply.passesNewsOn());
    text.append(' ').append(reply.tolerance().toMillis()).append('\n');
    reply.rows().forEach(row -> appendRow(text, row));
    return text.toString();
  }

  /**
   * Decodes a reply.
   *
   * @param text the text
   * @return the reply
   * @throws IllegalArgumentException if a line is malformed
   */
  public static CoordinatorReply decodeReply(String text) {
    CoordinatorReply reply = null;
    var news = new NewsVersions(0, 0, 0);
    Map<UpstreamId, ImmutableSortedMap.Builder<Integer, Double>> shares = new HashMap<>();
    ImmutableList.Builder<NewsRow> rows = ImmutableList.builder();
    boolean passesNewsOn = false;
    var tolerance = Duration.ZERO;
    for (Iterator<String> lines = text.lines().iterator(); lines.hasNext(); ) {
      String[] words = lines.next().split(" ", -1);
      switch (words[0]) {
        case "share" ->
            shares
                .computeIfAbsent(
                    UpstreamId.of(word(words, 1)), u -> ImmutableSortedMap.naturalOrder())
                .put(
                    Integer.parseInt(word(words, 2)), Integer.parseInt(word(words, 3)) / PER_MILLE);
        case "coordinator" ->
            reply =
                new CoordinatorReply(
                    HostId.of(word(words, 1)),
                    Boolean.parseBoolean(word(words, 2)),
                    Long.parseLong(word(words, 3)),
                    Integer.parseInt(word(words, 4)),
                    fromMillionths(word(words, 5)),
                    news,
                    AdmissionShares.ADMIT_ALL,
                    false,
                    Duration.ZERO,
                    ImmutableList.of());
        case "news" -> news = news(words);
        case "passes" -> {
          passesNewsOn = Boolean.parseBoolean(word(words, 1));
          tolerance = Duration.ofMillis(Long.parseLong(word(words, 2)));
        }
        case "row" -> rows.add(row(words));
        default -> {}
      }
    }
    if (reply == null) {
      throw new IllegalArgumentException("reply without a coordinator");
    }
    return new CoordinatorReply(
        reply.host(),
        reply.hasRole(),
        reply.leaseVersion(),
        reply.daemons(),
        reply.strongestProcessor(),
        news,
        sharesOf(shares),
        passesNewsOn,
        tolerance,
        rows.build());
  }

  /** Keys may hold any character, since other programs write rows too; contents are encoded. */
  private static void appendRow(StringBuilder text, NewsRow row) {
    byte[] key = row.key().getBytes(StandardCharsets.UTF_8);
    text.append("row ").append(row.table()).append(' ').append(row.version()).append(' ');
    text.append(Base64.getEncoder().encodeToString(key)).append(' ');
    text.append(row.encodedValue().orElse(REMOVED)).append('\n');
  }

  private static NewsRow row(String[] words) {
    byte[] key = Base64.getDecoder().decode(word(words, 3));
    String value = word(words, 4);
    return new NewsRow(
        word(words, 1),
        new String(key, StandardCharsets.UTF_8),
        Long.parseLong(word(words, 2)),
        value.equals(REMOVED) ? Optional.empty() : Optional.of(value));
  }

  private static AdmissionShares sharesOf(
      Map<UpstreamId, ImmutableSortedMap.Builder<Integer, Double>> shares) {
    ImmutableMap.Builder<UpstreamId, ImmutableSortedMap<Integer, Double>> built =
        ImmutableMap.builder();
    shares.forEach((upstream, ranks) -> built.put(upstream, ranks.buildOrThrow()));
    return new AdmissionShares(built.buildOrThrow());
  }

  private static void appendNews(StringBuilder text, NewsVersions news) {
    text.append("news ").append(news.operators()).append(' ').append(news.upstreams());
    text.append(' ').append(news.own()).append('\n');
  }

  private static NewsVersions news(String[] words) {
    return new NewsVersions(
        Long.parseLong(word(words, 1)),
        Long.parseLong(word(words, 2)),
        Long.parseLong(word(words, 3)));
  }

  private static String word(String[] words, int index) {
    if (index >= words.length) {
      throw new IllegalArgumentException("line is too short: " + String.join(" ", words));
    }
    return words[index];
  }

  private static long inMillionths(double units) {
    return Math.round(units * MILLIONTHS);
  }

  private static double fromMillionths(String millionths) {
    return Long.parseLong(millionths) / MILLIONTHS;
  }
}
