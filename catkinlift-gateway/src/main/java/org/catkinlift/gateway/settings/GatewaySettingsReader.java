package org.catkinlift.gateway.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Function;
import org.catkinlift.gateway.settings.GatewaySettings.Addresses;
import org.catkinlift.gateway.settings.GatewaySettings.Bounds;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.gateway.settings.GatewaySettings.Repeats;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/** Reads the settings of a daemon from a JSON file. Fields that are not known are ignored. */
public final class GatewaySettingsReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private GatewaySettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @return the settings
   * @throws GatewaySettingsException if the file cannot be read or a field is wrong
   */
  public static GatewaySettings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new GatewaySettingsException("cannot read settings file " + file, e);
    }
  }

  /**
   * Reads settings from text.
   *
   * @param json the text
   * @return the settings
   * @throws GatewaySettingsException if the text is not JSON or a field is wrong
   */
  public static GatewaySettings parse(String json) {
    JsonNode root;
    try {
      root = MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new GatewaySettingsException("settings are not JSON: " + e.getOriginalMessage(), e);
    }
    return new GatewaySettings(
        field(root, "host", HostId::of),
        field(root, "zone", ZoneName::of),
        processor(root.path("processor")),
        addresses(root.path("addresses")),
        bounds(root.path("bounds")),
        repeats(root.path("repeats")),
        headers(root.path("headers")));
  }

  private static double processor(JsonNode node) {
    double share = field(node, "share", GatewaySettingsReader::positive);
    return share * field(node, "cores", GatewaySettingsReader::positive);
  }

  private static double positive(String text) {
    double value = Double.parseDouble(text);
    if (!(value > 0)) {
      throw new IllegalArgumentException("expected a number above 0");
    }
    return value;
  }

  private static Addresses addresses(JsonNode node) {
    return new Addresses(
        field(node, "callers", GatewaySettingsReader::address),
        field(node, "health", GatewaySettingsReader::address),
        field(node, "healthPath", Function.identity()),
        field(node, "peers", GatewaySettingsReader::address),
        field(node, "metrics", GatewaySettingsReader::address),
        field(node, "store", GatewaySettingsReader::address));
  }

  private static Bounds bounds(JsonNode node) {
    return new Bounds(
        field(node, "drain", GatewaySettingsReader::duration),
        field(node, "evacuate", GatewaySettingsReader::duration),
        field(node, "stopGrace", GatewaySettingsReader::duration),
        field(node, "longestHold", GatewaySettingsReader::duration));
  }

  private static Repeats repeats(JsonNode node) {
    return new Repeats(
        field(node, "ratio", Double::valueOf),
        field(node, "slack", Double::valueOf),
        field(node, "window", GatewaySettingsReader::duration));
  }

  private static HeaderNames headers(JsonNode node) {
    return new HeaderNames(
        headerName(node, "requestId"),
        headerName(node, "deadlineMillis"),
        headerName(node, "key"),
        headerName(node, "signature"),
        headerName(node, "expectedUpstream"),
        headerName(node, "notExecuted"),
        headerName(node, "answeringUpstream"),
        headerName(node, "load"));
  }

  private static String headerName(JsonNode node, String name) {
    return field(node, name, text -> text.toLowerCase(Locale.ROOT));
  }

  private static <T> T field(JsonNode node, String name, Function<String, T> parser) {
    JsonNode value = node.path(name);
    String text = value.isValueNode() && !value.isNull() ? value.asText() : "";
    if (text.isEmpty()) {
      throw new GatewaySettingsException("settings field '" + name + "' is missing", null);
    }
    try {
      return parser.apply(text);
    } catch (ModelException | IllegalArgumentException e) {
      throw new GatewaySettingsException(
          "settings field '" + name + "' has a wrong value '" + text + "': " + e.getMessage(), e);
    }
  }

  private static NetworkAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("expected IP:PORT");
    }
    return NetworkAddress.of(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Reads a number with the unit {@code ms} or {@code s}. */
  private static Duration duration(String text) {
    if (text.endsWith("ms")) {
      return millis(text.substring(0, text.length() - 2), 1);
    }
    if (text.endsWith("s")) {
      return millis(text.substring(0, text.length() - 1), 1_000);
    }
    throw new IllegalArgumentException("expected a number with the unit ms or s");
  }

  private static Duration millis(String number, int factor) {
    double value = Double.parseDouble(number) * factor;
    if (!(value >= 0) || value > Integer.MAX_VALUE) {
      throw new IllegalArgumentException("out of range");
    }
    return Duration.ofMillis((long) value);
  }
}
