package org.catkinlift.gateway.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Function;
import org.catkinlift.gateway.settings.GatewaySettings.Addresses;
import org.catkinlift.gateway.settings.GatewaySettings.CallerBounds;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.gateway.settings.GatewaySettings.RetryBudget;
import org.catkinlift.gateway.settings.GatewaySettings.TimeLimits;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/** Reads the settings of a daemon from a JSON file. Unknown fields are ignored. */
public final class GatewaySettingsReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** One caller within the limits may hold this much. */
  private static final long MIN_CALLER_BYTES = 1 << 20;

  private GatewaySettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @return the settings
   * @throws GatewaySettingsException if the file cannot be read or a field is missing or invalid
   */
  public static GatewaySettings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new GatewaySettingsException("cannot read settings file " + file, e);
    }
  }

  /**
   * Parses settings.
   *
   * @param json the settings as JSON
   * @return the settings
   * @throws GatewaySettingsException if the text is not JSON or a field is missing or invalid
   */
  public static GatewaySettings parse(String json) {
    JsonNode root;
    try {
      root = MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new GatewaySettingsException(
          "settings are not valid JSON: " + e.getOriginalMessage(), e);
    }
    return new GatewaySettings(
        parseField(root, "host", HostId::of),
        parseField(root, "zone", ZoneName::of),
        parseCpuCapacity(root.path("processor")),
        parseAddresses(root.path("addresses")),
        parseTimeLimits(root.path("bounds")),
        parseRetryBudget(root.path("repeats")),
        parseHeaders(root.path("headers")),
        parseCallerBounds(root.path("limits")));
  }

  private static double parseCpuCapacity(JsonNode node) {
    double share = parseField(node, "share", GatewaySettingsReader::parsePositive);
    return share * parseField(node, "cores", GatewaySettingsReader::parsePositive);
  }

  private static double parsePositive(String text) {
    double value = Double.parseDouble(text);
    if (!(value > 0)) {
      throw new IllegalArgumentException("expected a number greater than 0");
    }
    return value;
  }

  private static Addresses parseAddresses(JsonNode node) {
    return new Addresses(
        parseField(node, "callers", GatewaySettingsReader::parseAddress),
        parseField(node, "health", GatewaySettingsReader::parseAddress),
        parseField(node, "healthPath", Function.identity()),
        parseField(node, "peers", GatewaySettingsReader::parseAddress),
        parseField(node, "metrics", GatewaySettingsReader::parseAddress),
        parseField(node, "store", GatewaySettingsReader::parseAddress));
  }

  private static TimeLimits parseTimeLimits(JsonNode node) {
    return new TimeLimits(
        parseField(node, "drain", GatewaySettingsReader::parseDuration),
        parseField(node, "evacuate", GatewaySettingsReader::parseDuration),
        parseField(node, "stopGrace", GatewaySettingsReader::parseDuration),
        parseField(node, "longestHold", GatewaySettingsReader::parseDuration));
  }

  private static RetryBudget parseRetryBudget(JsonNode node) {
    return new RetryBudget(
        parseField(node, "ratio", Double::valueOf),
        parseField(node, "slack", Double::valueOf),
        parseField(node, "window", GatewaySettingsReader::parseDuration));
  }

  private static HeaderNames parseHeaders(JsonNode node) {
    return new HeaderNames(
        parseHeaderName(node, "requestId"),
        parseHeaderName(node, "deadlineMillis"),
        parseHeaderName(node, "key"),
        parseHeaderName(node, "signature"),
        parseHeaderName(node, "expectedUpstream"),
        parseHeaderName(node, "notExecuted"),
        parseHeaderName(node, "answeringUpstream"),
        parseHeaderName(node, "load"));
  }

  private static CallerBounds parseCallerBounds(JsonNode node) {
    return new CallerBounds(
        node.has("callerBytes")
            ? OptionalLong.of(parseField(node, "callerBytes", GatewaySettingsReader::parseBytes))
            : OptionalLong.empty(),
        node.has("callerConnections")
            ? OptionalInt.of(parseCount(node, "callerConnections", 0))
            : OptionalInt.empty(),
        parseCount(node, "headerFields", CallerBounds.DEFAULT.headerFields()),
        parseCount(node, "pipelinedRequests", CallerBounds.DEFAULT.pipelinedRequests()));
  }

  private static long parseBytes(String text) {
    long value = Long.parseLong(text);
    if (value < MIN_CALLER_BYTES) {
      throw new IllegalArgumentException("expected at least " + MIN_CALLER_BYTES + " bytes");
    }
    return value;
  }

  private static int parseCount(JsonNode node, String name, int defaultValue) {
    return node.has(name)
        ? parseField(node, name, GatewaySettingsReader::parsePositiveInteger)
        : defaultValue;
  }

  private static int parsePositiveInteger(String text) {
    int value = Integer.parseInt(text);
    if (value < 1) {
      throw new IllegalArgumentException("expected an integer greater than 0");
    }
    return value;
  }

  private static String parseHeaderName(JsonNode node, String name) {
    return parseField(node, name, text -> text.toLowerCase(Locale.ROOT));
  }

  private static <T> T parseField(JsonNode node, String name, Function<String, T> parser) {
    JsonNode value = node.path(name);
    String text = value.isValueNode() && !value.isNull() ? value.asText() : "";
    if (text.isEmpty()) {
      throw new GatewaySettingsException("settings field '" + name + "' is missing", null);
    }
    try {
      return parser.apply(text);
    } catch (ModelException | IllegalArgumentException e) {
      throw new GatewaySettingsException(
          "settings field '" + name + "' has the invalid value '" + text + "': " + e.getMessage(),
          e);
    }
  }

  private static NetworkAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("expected IP:PORT");
    }
    return NetworkAddress.of(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Parses a number with the unit {@code ms} or {@code s}. */
  private static Duration parseDuration(String text) {
    if (text.endsWith("ms")) {
      return parseMillis(text.substring(0, text.length() - 2), 1);
    }
    if (text.endsWith("s")) {
      return parseMillis(text.substring(0, text.length() - 1), 1_000);
    }
    throw new IllegalArgumentException("expected a number with the unit ms or s");
  }

  private static Duration parseMillis(String number, int factor) {
    double value = Double.parseDouble(number) * factor;
    if (!(value >= 0) || value > Integer.MAX_VALUE) {
      throw new IllegalArgumentException("duration is out of range");
    }
    return Duration.ofMillis((long) value);
  }
}
