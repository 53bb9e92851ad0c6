package org.catkinlift.daemon.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.daemon.json.JsonDecoder;
import org.catkinlift.daemon.json.JsonDecoders;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.events.EventCode.Severity;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/** Declares all keys of the settings document, for the reader and the documentation. */
public final class SettingsKeys {
  private static final String REQUIRED = "required";
  private static final String ZONE_NAME_DEFAULT = "the zone's name";
  private static final String NAME = "name";
  private static final String ADDRESS = "IP number and port";
  private static final String MS = "ms";

  static final SettingsKey<HostId> HOST =
      new SettingsKey<>("host", NAME, REQUIRED, JsonDecoders.name(HostId::of));
  static final SettingsKey<ZoneName> ZONE =
      new SettingsKey<>("zone", NAME, REQUIRED, JsonDecoders.name(ZoneName::of));
  static final SettingsKey<CellId> CELL =
      new SettingsKey<>("cell", NAME, ZONE_NAME_DEFAULT, JsonDecoders.name(CellId::of));
  static final SettingsKey<ImmutableList<ZoneName>> ZONES =
      new SettingsKey<>(
          "zones",
          "names",
          "the zones of host and peers",
          JsonDecoders.list(JsonDecoders.name(ZoneName::of), "array of zone names"));
  static final SettingsKey<NetworkAddress> CALLER_ADDRESS = address("callerAddress");
  static final SettingsKey<NetworkAddress> PEER_ADDRESS = address("peerAddress");
  static final SettingsKey<NetworkAddress> OPERATOR_ADDRESS = address("operatorAddress");
  static final SettingsKey<OperatorToken> OPERATOR_TOKEN =
      new SettingsKey<>("operatorToken", "characters", REQUIRED, token());
  static final SettingsKey<NetworkAddress> PLATFORM_ADDRESS = address("platformAddress");

  static final SettingsKey<HostId> PEER_HOST =
      new SettingsKey<>("peers[].host", NAME, REQUIRED, JsonDecoders.name(HostId::of));
  static final SettingsKey<ZoneName> PEER_ZONE =
      new SettingsKey<>("peers[].zone", NAME, REQUIRED, JsonDecoders.name(ZoneName::of));
  static final SettingsKey<CellId> PEER_CELL =
      new SettingsKey<>("peers[].cell", NAME, ZONE_NAME_DEFAULT, JsonDecoders.name(CellId::of));
  static final SettingsKey<NetworkAddress> PEER_PEER_ADDRESS = address("peers[].peerAddress");

  static final SettingsKey<Severity> LOGGING_LEVEL =
      new SettingsKey<>(
          "logging.level",
          "severity",
          "\"INFO\"",
          JsonDecoders.choice(
              ImmutableMap.of(
                  "DEBUG", Severity.DEBUG, "INFO", Severity.INFO, "WARNING", Severity.WARNING)));
  static final SettingsKey<Double> LOGGING_SAMPLING =
      new SettingsKey<>(
          "logging.requestEventSampling", "share of requests", "1", JsonDecoders.number(0, 1));

  static final SettingsKey<Integer> QUEUE_FACTOR =
      new SettingsKey<>(
          "limits.queueFactor", "multiple of the limit", "16", JsonDecoders.integer(1, 64));
  static final SettingsKey<Integer> MAX_CONTROL_BODY_BYTES =
      new SettingsKey<>(
          "limits.maxControlBodyBytes", "bytes", "4194304", JsonDecoders.integer(1 << 10, 1 << 26));
  static final SettingsKey<Duration> DEFAULT_DEADLINE =
      millis("limits.defaultDeadlineMs", "10000", Duration.ofMillis(1), Duration.ofMinutes(10));
  static final SettingsKey<Duration> CALLER_IDLE_TIMEOUT =
      millis("limits.callerIdleMs", "60000", Duration.ofSeconds(1), Duration.ofHours(1));
  static final SettingsKey<Duration> UPSTREAM_IDLE_TIMEOUT =
      millis("limits.upstreamIdleMs", "25000", Duration.ofSeconds(1), Duration.ofSeconds(30));
  static final SettingsKey<Duration> SHUTDOWN_GRACE =
      millis("shutdownGraceMs", "30000", Duration.ZERO, Duration.ofHours(1));

  /** All keys, in the order of the documentation. */
  public static final ImmutableList<SettingsKey<?>> ALL =
      ImmutableList.of(
          HOST,
          ZONE,
          CELL,
          ZONES,
          CALLER_ADDRESS,
          PEER_ADDRESS,
          OPERATOR_ADDRESS,
          OPERATOR_TOKEN,
          PLATFORM_ADDRESS,
          PEER_HOST,
          PEER_ZONE,
          PEER_CELL,
          PEER_PEER_ADDRESS,
          LOGGING_LEVEL,
          LOGGING_SAMPLING,
          QUEUE_FACTOR,
          MAX_CONTROL_BODY_BYTES,
          DEFAULT_DEADLINE,
          CALLER_IDLE_TIMEOUT,
          UPSTREAM_IDLE_TIMEOUT,
          SHUTDOWN_GRACE);

  private SettingsKeys() {}

  private static SettingsKey<NetworkAddress> address(String path) {
    return new SettingsKey<>(path, ADDRESS, REQUIRED, JsonDecoders.address());
  }

  private static SettingsKey<Duration> millis(
      String path, String defaultText, Duration min, Duration max) {
    return new SettingsKey<>(path, MS, defaultText, JsonDecoders.millis(min, max));
  }

  private static JsonDecoder<OperatorToken> token() {
    return new JsonDecoder<>() {
      @Override
      public String allowed() {
        return OperatorToken.allowed();
      }

      @Override
      public Optional<OperatorToken> decode(
          com.fasterxml.jackson.databind.JsonNode node, String path, JsonErrors errors) {
        if (!node.isTextual() || node.textValue().length() < OperatorToken.MIN_LENGTH) {
          errors.addHidden(path, allowed());
          return Optional.empty();
        }
        return Optional.of(OperatorToken.of(node.textValue()));
      }
    };
  }
}
