package org.catkinlift.gateway.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.catkinlift.gateway.json.JsonTrees;
import org.catkinlift.gateway.settings.GatewaySettings.Addresses;
import org.catkinlift.gateway.settings.GatewaySettings.CallerBounds;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.gateway.settings.GatewaySettings.RetryBudget;
import org.catkinlift.gateway.settings.GatewaySettings.TenantSettings;
import org.catkinlift.gateway.settings.GatewaySettings.TimeLimits;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;
import org.catkinlift.tenants.StalenessBound;

/** Reads the settings of a daemon from a JSON file. Unknown fields are ignored. */
public final class GatewaySettingsReader {
  /** An HTTP token. */
  private static final Pattern TOKEN = Pattern.compile("[0-9A-Za-z!#$%&'*+.^_`|~-]+");

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
      root = JsonTrees.parse(json);
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
        parseTenantSettings(root.path("headers"), root.path("bounds")),
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

  private static TenantSettings parseTenantSettings(JsonNode headers, JsonNode bounds) {
    return new TenantSettings(
        parseHeaderName(headers, "tenant"),
        parseHeaderName(headers, "credentials"),
        parseField(headers, "credentialsScheme", GatewaySettingsReader::parseToken),
        parseStalenessBound(bounds));
  }

  /** Deployments without tenants have neither field. */
  private static StalenessBound parseStalenessBound(JsonNode node) {
    if (node.has("revocation")) {
      // Checked even if the deployment fails open, so that an invalid value is noticed.
      Duration maxAge = parseField(node, "revocation", GatewaySettingsReader::parseDuration);
      return isFailClosed(node)
          ? new StalenessBound.FailClosed(maxAge)
          : new StalenessBound.FailOpen();
    }
    if (isFailClosed(node)) {
      throw new GatewaySettingsException(
          "settings field 'failClosed' is true, but 'revocation' is missing", null);
    }
    return new StalenessBound.FailOpen();
  }

  private static boolean isFailClosed(JsonNode node) {
    return node.has("failClosed")
        && parseField(node, "failClosed", GatewaySettingsReader::parseBoolean);
  }

  private static boolean parseBoolean(String text) {
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default -> throw new IllegalArgumentException("expected true or false");
    };
  }

  private static String parseToken(String text) {
    if (!TOKEN.matcher(text).matches()) {
      throw new IllegalArgumentException("expected a word without spaces");
    }
    return text;
  }

  private static CallerBounds parseCallerBounds(JsonNode node) {
    return new CallerBounds(
        node.has("callerBytes")
            ? OptionalLong.of(parseField(node, "callerBytes", GatewaySettingsReader::parseBytes))
            : OptionalLong.empty(),
        parseOptionalCount(node, "callerConnections"),
        parseOptionalCount(node, "descriptors"),
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

  private static OptionalInt parseOptionalCount(JsonNode node, String name) {
    return node.has(name)
        ? OptionalInt.of(parseField(node, name, GatewaySettingsReader::parsePositiveInteger))
        : OptionalInt.empty();
  }

  private static int parseCount(JsonNode node, String name, int defaultValue) {
    return parseOptionalCount(node, name).orElse(defaultValue);
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
