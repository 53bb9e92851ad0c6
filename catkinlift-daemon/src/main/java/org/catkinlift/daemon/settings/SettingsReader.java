package org.catkinlift.daemon.settings;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.catkinlift.daemon.json.JsonDecoder;
import org.catkinlift.daemon.json.JsonDecoders;
import org.catkinlift.daemon.json.JsonError;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.model.HostDefinition;

/** Reads settings documents and reports all errors of a document in one exception. */
public final class SettingsReader {
  private static final JsonDecoder<ImmutableList<HostEntry>> PEERS =
      JsonDecoders.list(JsonDecoders.object(SettingsReader::readPeer), "array of peers");

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @return the settings
   * @throws SettingsException if the document is unreadable or invalid; contains all errors
   */
  public static DaemonSettings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      var error = new SettingsError(file.toString(), "(not readable)", "readable UTF-8 file");
      throw new SettingsException(SettingsException.Code.NOT_READABLE, error, e);
    }
  }

  /**
   * Reads a settings document.
   *
   * @param text the document
   * @return the settings
   * @throws SettingsException if the document is unreadable or invalid; contains all errors
   */
  public static DaemonSettings parse(String text) {
    var errors = new JsonErrors();
    Optional<JsonNode> document = StrictJson.parse(text, errors);
    if (document.isEmpty()) {
      throw failure(SettingsException.Code.MALFORMED, errors);
    }
    var root = JsonObjectReader.of(document.get(), JsonError.ROOT, errors);
    ParsedSettings parsed = readRoot(root);
    check(parsed, errors);
    if (!errors.isEmpty()) {
      throw failure(SettingsException.Code.INVALID, errors);
    }
    return parsed.toSettings();
  }

  private static SettingsException failure(SettingsException.Code code, JsonErrors errors) {
    return new SettingsException(
        code, errors.list().stream().map(SettingsError::of).collect(toImmutableList()));
  }

  private static ParsedSettings readRoot(JsonObjectReader root) {
    var parsed =
        new ParsedSettings(
            SettingsKeys.HOST.required(root),
            SettingsKeys.ZONE.required(root),
            SettingsKeys.CELL.optional(root),
            SettingsKeys.ZONES.optional(root),
            SettingsKeys.CALLER_ADDRESS.required(root),
            SettingsKeys.PEER_ADDRESS.required(root),
            SettingsKeys.OPERATOR_ADDRESS.required(root),
            SettingsKeys.OPERATOR_TOKEN.required(root),
            SettingsKeys.PLATFORM_ADDRESS.required(root),
            root.optional("peers", PEERS).orElse(ImmutableList.of()),
            readLogging(root.section("logging")),
            readLimits(root.section("limits")),
            SettingsKeys.SHUTDOWN_GRACE.orDefault(root));
    root.finish();
    return parsed;
  }

  private static void check(ParsedSettings parsed, JsonErrors errors) {
    var rules = new SettingsRules(errors);
    rules.checkOverlaps(parsed.allAddresses());
    rules.checkReachable(parsed.reachableAddresses());
    rules.checkUniqueHosts(parsed.hosts());
    rules.checkCells(parsed.hosts());
    parsed.zones().ifPresent(zones -> rules.checkZones(zones, parsed.hosts()));
  }

  private static LoggingSettings readLogging(JsonObjectReader section) {
    var settings =
        new LoggingSettings(
            SettingsKeys.LOGGING_LEVEL.orDefault(section),
            SettingsKeys.LOGGING_SAMPLING.orDefault(section));
    section.finish();
    return settings;
  }

  private static LimitSettings readLimits(JsonObjectReader section) {
    var settings =
        new LimitSettings(
            SettingsKeys.QUEUE_FACTOR.orDefault(section),
            SettingsKeys.MAX_CONTROL_BODY_BYTES.orDefault(section),
            SettingsKeys.DEFAULT_DEADLINE.orDefault(section),
            SettingsKeys.CALLER_IDLE_TIMEOUT.orDefault(section),
            SettingsKeys.UPSTREAM_IDLE_TIMEOUT.orDefault(section));
    section.finish();
    return settings;
  }

  private static Optional<HostEntry> readPeer(JsonObjectReader peer) {
    Optional<HostDefinition> host =
        ParsedSettings.combine(
            SettingsKeys.PEER_HOST.required(peer),
            SettingsKeys.PEER_ZONE.required(peer),
            SettingsKeys.PEER_CELL.optional(peer),
            SettingsKeys.PEER_PEER_ADDRESS.required(peer));
    return host.map(h -> new HostEntry(peer.pathOf(""), h));
  }
}
