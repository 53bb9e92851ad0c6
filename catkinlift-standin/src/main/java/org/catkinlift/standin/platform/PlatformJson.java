package org.catkinlift.standin.platform;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Streams;
import java.time.Duration;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/** Converts the platform's types to and from JSON bodies. */
final class PlatformJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlatformJson() {}

  static String ofRow(TableRow row) {
    return rowNode(row).toString();
  }

  static String ofRows(Iterable<TableRow> rows) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode array = root.putArray("rows");
    rows.forEach(r -> array.add(rowNode(r)));
    return root.toString();
  }

  static String ofHosts(HostList list) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode live = root.putArray("live");
    list.live().forEach(h -> live.add(hostNode(h)));
    ArrayNode leaving = root.putArray("leaving");
    list.leaving().forEach(h -> leaving.add(h.value()));
    return root.toString();
  }

  static String ofFaults(PlatformFaults faults) {
    return MAPPER
        .createObjectNode()
        .put("outage", faults.outage())
        .put("delayMillis", faults.delay().toMillis())
        .put("loseEveryNth", faults.loseEveryNth())
        .put("loseNext", faults.loseNext())
        .put("hostListLagMillis", faults.hostListLag().toMillis())
        .toString();
  }

  /**
   * Parses a transaction.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static TableTransaction toTransaction(String text) {
    JsonNode root = parse(text);
    var conditions = ImmutableMap.<String, Long>builder();
    for (JsonNode c : root.path("conditions")) {
      conditions.put(required(c, "row").asText(), required(c, "version").asLong());
    }
    var writes = ImmutableMap.<String, String>builder();
    for (JsonNode w : root.path("writes")) {
      writes.put(required(w, "row").asText(), required(w, "value").toString());
    }
    return new TableTransaction(
        required(root, "requestId").asText(), conditions.buildOrThrow(), writes.buildOrThrow());
  }

  /**
   * Parses faults; fields absent from the text keep their current values.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static PlatformFaults toFaults(String text, PlatformFaults current) {
    JsonNode root = parse(text);
    return current.toBuilder()
        .outage(root.path("outage").asBoolean(current.outage()))
        .delay(millis(root, "delayMillis", current.delay()))
        .loseEveryNth(root.path("loseEveryNth").asInt(current.loseEveryNth()))
        .loseNext(root.path("loseNext").asInt(current.loseNext()))
        .hostListLag(millis(root, "hostListLagMillis", current.hostListLag()))
        .build();
  }

  /**
   * Parses a host list.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static HostList toHosts(String text) {
    JsonNode root = parse(text);
    return new HostList(
        Streams.stream(root.path("live")).map(PlatformJson::toHost).collect(toImmutableList()),
        Streams.stream(root.path("leaving"))
            .map(n -> HostId.of(n.asText()))
            .collect(toImmutableList()));
  }

  private static ObjectNode rowNode(TableRow row) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("row", row.name())
            .put("version", row.version())
            .put("requestId", row.requestId());
    node.putRawValue("value", new RawValue(row.json()));
    return node;
  }

  private static ObjectNode hostNode(HostDefinition host) {
    return MAPPER
        .createObjectNode()
        .put("host", host.id().value())
        .put("zone", host.zone().value())
        .put("cell", host.cell().value())
        .put("ip", host.peerAddress().ip())
        .put("port", host.peerAddress().port());
  }

  private static HostDefinition toHost(JsonNode node) {
    return new HostDefinition(
        HostId.of(required(node, "host").asText()),
        ZoneName.of(required(node, "zone").asText()),
        CellId.of(required(node, "cell").asText()),
        NetworkAddress.of(required(node, "ip").asText(), required(node, "port").asInt()));
  }

  private static Duration millis(JsonNode root, String field, Duration fallback) {
    return Duration.ofMillis(root.path(field).asLong(fallback.toMillis()));
  }

  private static JsonNode required(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null) {
      throw new IllegalArgumentException("field '" + field + "' is missing");
    }
    return value;
  }

  private static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body is not JSON", e);
    }
  }
}
