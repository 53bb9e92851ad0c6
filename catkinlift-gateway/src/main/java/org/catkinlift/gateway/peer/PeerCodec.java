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
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.gateway.store.RowChange;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * Encodes the messages between daemons as lines of space-separated fields, of which the first names
 * the type of the line. Decoding skips lines of unknown type, so that daemons of different versions
 * understand each other.
 */
public final class PeerCodec {
  /** The path at which a daemon accepts load reports. */
  public static final String REPORT_PATH = "/report";

  private static final double MILLIONTHS = 1e6;

  /** Stands for the value of a removed row; no encoded value equals it. */
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
    text.append(' ').append(inMillionths(report.cpuCapacity())).append('\n');
    appendVersions(text, report.observedVersions());
    for (LoadReport.KeyWork work : report.keyWork()) {
      text.append("work ").append(work.service()).append(' ').append(work.key());
      text.append(' ').append(work.priority());
      text.append(' ').append(inMillionths(work.expectedSeconds())).append('\n');
    }
    report
        .workTimes()
        .forEach(
            (upstream, times) ->
                text.append("speed ")
                    .append(upstream)
                    .append(' ')
                    .append(inMillionths(times.measuredSeconds()))
                    .append(' ')
                    .append(inMillionths(times.expectedSeconds()))
                    .append('\n'));
    ShareLines.append(text, report.quotas());
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
    double cpuCapacity = 0;
    long era = 0;
    var versions = new ObservedVersions(0, 0, 0);
    ImmutableList.Builder<LoadReport.KeyWork> keyWork = ImmutableList.builder();
    ImmutableMap.Builder<UpstreamId, LoadReport.WorkTimes> workTimes = ImmutableMap.builder();
    var quotas = new ShareLines.Decoder();
    for (Iterator<String> lines = text.lines().iterator(); lines.hasNext(); ) {
      String[] fields = lines.next().split(" ", -1);
      switch (fields[0]) {
        case "host" -> {
          host = HostId.of(field(fields, 1));
          cpuCapacity = fromMillionths(field(fields, 2));
        }
        case "era" -> era = Long.parseLong(field(fields, 1));
        case "news" -> versions = parseVersions(fields);
        case "work" ->
            keyWork.add(
                new LoadReport.KeyWork(
                    ServiceName.of(field(fields, 1)),
                    Integer.parseInt(field(fields, 2)),
                    Integer.parseInt(field(fields, 3)),
                    fromMillionths(field(fields, 4))));
        case "speed" ->
            workTimes.put(
                UpstreamId.of(field(fields, 1)),
                new LoadReport.WorkTimes(
                    fromMillionths(field(fields, 2)), fromMillionths(field(fields, 3))));
        default -> quotas.line(fields);
      }
    }
    if (host == null) {
      throw new IllegalArgumentException("load report has no host line");
    }
    return new LoadReport(
        host,
        cpuCapacity,
        versions.inEra(era),
        keyWork.build(),
        workTimes.buildKeepingLast(),
        quotas.report());
  }

  /**
   * Encodes a reply.
   *
   * @param reply the reply
   * @return the text
   */
  public static String encode(CoordinatorReply reply) {
    var text = new StringBuilder();
    text.append("coordinator ").append(reply.host()).append(' ').append(reply.isCoordinator());
    text.append(' ').append(reply.leaseVersion()).append(' ').append(reply.daemonCount());
    text.append(' ').append(inMillionths(reply.maxCpuCapacity())).append('\n');
    appendVersions(text, reply.observedVersions());
    reply
        .shares()
        .byUpstream()
        .forEach(
            (upstream, byPriority) ->
                byPriority.forEach(
                    (priority, share) ->
                        text.append("share ")
                            .append(upstream)
                            .append(' ')
                            .append(priority)
                            .append(' ')
                            .append(Math.round(share * PER_MILLE))
                            .append('\n')));
    text.append("passes ").append(reply.relaysUpdates());
    text.append(' ').append(reply.gracePeriod().toMillis());
    text.append(' ').append(reply.storeConfirmed()).append('\n');
    reply.changes().forEach(change -> appendChange(text, change));
    ShareLines.append(text, reply.quotaShares());
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
    long era = 0;
    var versions = new ObservedVersions(0, 0, 0);
    Map<UpstreamId, ImmutableSortedMap.Builder<Integer, Double>> shares = new HashMap<>();
    ImmutableList.Builder<RowChange> changes = ImmutableList.builder();
    boolean relaysUpdates = false;
    boolean storeConfirmed = false;
    var gracePeriod = Duration.ZERO;
    var quotas = new ShareLines.Decoder();
    for (Iterator<String> lines = text.lines().iterator(); lines.hasNext(); ) {
      String[] fields = lines.next().split(" ", -1);
      switch (fields[0]) {
        case "share" ->
            shares
                .computeIfAbsent(
                    UpstreamId.of(field(fields, 1)), u -> ImmutableSortedMap.naturalOrder())
                .put(
                    Integer.parseInt(field(fields, 2)),
                    Integer.parseInt(field(fields, 3)) / PER_MILLE);
        case "coordinator" ->
            reply =
                new CoordinatorReply(
                    HostId.of(field(fields, 1)),
                    Boolean.parseBoolean(field(fields, 2)),
                    Long.parseLong(field(fields, 3)),
                    Integer.parseInt(field(fields, 4)),
                    fromMillionths(field(fields, 5)),
                    versions,
                    AdmissionShares.ADMIT_ALL,
                    false,
                    false,
                    Duration.ZERO,
                    ImmutableList.of());
        case "era" -> era = Long.parseLong(field(fields, 1));
        case "news" -> versions = parseVersions(fields);
        case "passes" -> {
          relaysUpdates = Boolean.parseBoolean(field(fields, 1));
          gracePeriod = Duration.ofMillis(Long.parseLong(field(fields, 2)));
          // Earlier builds do not state it; a daemon that relays updates is in contact.
          storeConfirmed = fields.length > 3 ? Boolean.parseBoolean(fields[3]) : relaysUpdates;
        }
        case "row" -> changes.add(parseChange(fields));
        default -> quotas.line(fields);
      }
    }
    if (reply == null) {
      throw new IllegalArgumentException("reply has no coordinator line");
    }
    return new CoordinatorReply(
        reply.host(),
        reply.isCoordinator(),
        reply.leaseVersion(),
        reply.daemonCount(),
        reply.maxCpuCapacity(),
        versions.inEra(era),
        buildShares(shares),
        relaysUpdates,
        storeConfirmed,
        gracePeriod,
        changes.build(),
        quotas.grant());
  }

  /**
   * Keys are encoded as Base64, because other programs write rows whose keys have any character.
   */
  private static void appendChange(StringBuilder text, RowChange change) {
    byte[] key = change.key().getBytes(StandardCharsets.UTF_8);
    text.append("row ").append(change.table()).append(' ').append(change.version()).append(' ');
    text.append(Base64.getEncoder().encodeToString(key)).append(' ');
    text.append(change.encodedValue().orElse(REMOVED)).append('\n');
  }

  private static RowChange parseChange(String[] fields) {
    byte[] key = Base64.getDecoder().decode(field(fields, 3));
    String value = field(fields, 4);
    return new RowChange(
        field(fields, 1),
        new String(key, StandardCharsets.UTF_8),
        Long.parseLong(field(fields, 2)),
        value.equals(REMOVED) ? Optional.empty() : Optional.of(value));
  }

  private static AdmissionShares buildShares(
      Map<UpstreamId, ImmutableSortedMap.Builder<Integer, Double>> shares) {
    ImmutableMap.Builder<UpstreamId, ImmutableSortedMap<Integer, Double>> result =
        ImmutableMap.builder();
    shares.forEach((upstream, byPriority) -> result.put(upstream, byPriority.buildOrThrow()));
    return new AdmissionShares(result.buildOrThrow());
  }

  private static void appendVersions(StringBuilder text, ObservedVersions versions) {
    if (versions.era() > 0) {
      text.append("era ").append(versions.era()).append('\n');
    }
    text.append("news ").append(versions.operators()).append(' ').append(versions.upstreams());
    text.append(' ').append(versions.daemons()).append('\n');
  }

  private static ObservedVersions parseVersions(String[] fields) {
    return new ObservedVersions(
        Long.parseLong(field(fields, 1)),
        Long.parseLong(field(fields, 2)),
        Long.parseLong(field(fields, 3)));
  }

  static String field(String[] fields, int index) {
    if (index >= fields.length) {
      throw new IllegalArgumentException("line has too few fields: " + String.join(" ", fields));
    }
    return fields[index];
  }

  private static long inMillionths(double value) {
    return Math.round(value * MILLIONTHS);
  }

  private static double fromMillionths(String millionths) {
    return Long.parseLong(millionths) / MILLIONTHS;
  }
}
