package org.catkinlift.daemon.platform;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.daemon.json.ConfigurationCodec;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.Versioned;

/** Converts the versioned values that daemons replicate to and from JSON. */
final class VersionedCodec {

  private static final String CONFIGURATION = "configuration";
  private static final String HOMES = "homes";
  private static final String ASSIGNMENT = "assignment";
  private static final String DISPATCHERS = "dispatchers";
  private static final String CELL_LOAD = "cellLoad";

  private static final ConfigurationCodec CONFIGURATIONS =
      new ConfigurationCodec(new JsonFormat.Row());

  private VersionedCodec() {}

  static ObjectNode encode(Versioned value) {
    return switch (value) {
      case Configuration v -> CONFIGURATIONS.encode(v);
      case HomeMap v -> encodeHomes(v);
      case Assignment v -> encodeAssignment(v);
      case DispatcherMap v -> encodeDispatchers(v);
      case CellLoad v -> encodeCellLoad(v);
    };
  }

  static Versioned decode(JsonNode node) {
    String kind = JsonFields.text(node, "kind");
    return switch (kind) {
      case CONFIGURATION -> JsonFields.decode(CONFIGURATIONS.decoder(), node);
      case HOMES -> decodeHomes(node);
      case ASSIGNMENT -> decodeAssignment(node);
      case DISPATCHERS -> decodeDispatchers(node);
      case CELL_LOAD -> decodeCellLoad(node);
      default -> throw JsonFields.unknownKind("value", kind);
    };
  }

  private static ObjectNode encodeHomes(HomeMap value) {
    ObjectNode node =
        objectOfKind(HOMES).put("service", value.service().value()).put("version", value.version());
    return SlotCodec.putHomes(node, value.homes());
  }

  private static HomeMap decodeHomes(JsonNode node) {
    return new HomeMap(service(node), JsonFields.number(node, "version"), SlotCodec.homes(node));
  }

  private static ObjectNode encodeAssignment(Assignment value) {
    ObjectNode node =
        objectOfKind(ASSIGNMENT)
            .put("service", value.service().value())
            .put("cell", value.cell().value());
    node.set("version", JsonFields.epoch(value.version()));
    return SlotCodec.putOwners(node, value.slots(), value.overrides());
  }

  private static Assignment decodeAssignment(JsonNode node) {
    return new Assignment(
        service(node),
        cell(node),
        JsonFields.epoch(node, "version"),
        SlotCodec.slots(node),
        SlotCodec.overrides(node));
  }

  private static ObjectNode encodeDispatchers(DispatcherMap value) {
    ObjectNode node = objectOfKind(DISPATCHERS).put("cell", value.cell().value());
    node.set("version", JsonFields.epoch(value.version()));
    ObjectNode hosts = node.putObject("dispatchers");
    value.dispatchers().forEach((upstream, host) -> hosts.put(upstream.value(), host.value()));
    return node;
  }

  private static DispatcherMap decodeDispatchers(JsonNode node) {
    ImmutableMap<UpstreamId, HostId> hosts =
        JsonFields.required(node, "dispatchers").properties().stream()
            .collect(
                toImmutableMap(
                    e -> UpstreamId.of(e.getKey()), e -> HostId.of(e.getValue().asText())));
    return new DispatcherMap(cell(node), JsonFields.epoch(node, "version"), hosts);
  }

  private static ObjectNode encodeCellLoad(CellLoad value) {
    ObjectNode node =
        objectOfKind(CELL_LOAD)
            .put("service", value.service().value())
            .put("cell", value.cell().value());
    node.set("version", JsonFields.epoch(value.version()));
    return node.put("homeVersion", value.measured().homeVersion())
        .put("load", value.measured().load())
        .put("error", value.measured().error())
        .put("capacity", value.measured().capacity());
  }

  private static CellLoad decodeCellLoad(JsonNode node) {
    return new CellLoad(
        service(node),
        cell(node),
        JsonFields.epoch(node, "version"),
        new CellLoad.Measured(
            JsonFields.number(node, "homeVersion"),
            JsonFields.required(node, "load").asDouble(),
            JsonFields.required(node, "error").asDouble(),
            JsonFields.required(node, "capacity").asDouble()));
  }

  private static ServiceName service(JsonNode node) {
    return ServiceName.of(JsonFields.text(node, "service"));
  }

  private static CellId cell(JsonNode node) {
    return CellId.of(JsonFields.text(node, "cell"));
  }

  private static ObjectNode objectOfKind(String kind) {
    return JsonFields.object().put("kind", kind);
  }
}
