package org.catkinlift.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Translates service definitions to and from JSON. */
final class ServiceCodec {

  private ServiceCodec() {}

  static ObjectNode encode(ServiceDefinition service) {
    ObjectNode node = JsonFields.object().put("name", service.name().value());
    node.set("kind", encodeKind(service.kind()));
    node.set("zones", JsonFields.names(service.zones()));
    node.set("upstreams", JsonFields.array(service.upstreams(), ServiceCodec::encodeUpstream));
    return node.put("zoneLimit", service.zoneLimit());
  }

  static ServiceDefinition decode(JsonNode node) {
    return new ServiceDefinition(
        ServiceName.of(JsonFields.text(node, "name")),
        decodeKind(JsonFields.required(node, "kind")),
        JsonFields.nameSet(node, "zones", ZoneName::of),
        JsonFields.list(node, "upstreams", ServiceCodec::decodeUpstream),
        JsonFields.integer(node, "zoneLimit"));
  }

  private static ObjectNode encodeKind(ServiceKind kind) {
    return switch (kind) {
      case ServiceKind.Shared k -> JsonFields.object().put("kind", "shared");
      case ServiceKind.Keyed k -> {
        ObjectNode node = JsonFields.object().put("kind", "keyed").put("slotCount", k.slotCount());
        node.set("cutOffRule", encodeRule(k.cutOffRule()));
        node.set("grantChecking", encodeChecking(k.grantChecking()));
        yield node;
      }
    };
  }

  private static ServiceKind decodeKind(JsonNode node) {
    String kind = JsonFields.text(node, "kind");
    return switch (kind) {
      case "shared" -> ServiceKind.shared();
      case "keyed" ->
          new ServiceKind.Keyed(
              JsonFields.integer(node, "slotCount"),
              decodeRule(JsonFields.required(node, "cutOffRule")),
              decodeChecking(JsonFields.required(node, "grantChecking")));
      default -> throw JsonFields.unknownKind("service", kind);
    };
  }

  private static ObjectNode encodeRule(CutOffRule rule) {
    return switch (rule) {
      case CutOffRule.Lapse r -> JsonFields.object().put("kind", "lapse");
      case CutOffRule.Hold r -> {
        ObjectNode node =
            JsonFields.object()
                .put("kind", "hold")
                .put("longPromiseMillis", r.longPromise().toMillis());
        r.isolationLimit().ifPresent(l -> node.put("isolationLimitMillis", l.toMillis()));
        yield node;
      }
    };
  }

  private static CutOffRule decodeRule(JsonNode node) {
    String kind = JsonFields.text(node, "kind");
    return switch (kind) {
      case "lapse" -> CutOffRule.lapse();
      case "hold" ->
          new CutOffRule.Hold(
              millis(node, "longPromiseMillis"),
              node.hasNonNull("isolationLimitMillis")
                  ? Optional.of(millis(node, "isolationLimitMillis"))
                  : Optional.empty());
      default -> throw JsonFields.unknownKind("cut-off rule", kind);
    };
  }

  private static ObjectNode encodeChecking(GrantChecking checking) {
    return switch (checking) {
      case GrantChecking.Checked c -> JsonFields.object().put("kind", "checked");
      case GrantChecking.Unchecked c ->
          JsonFields.object()
              .put("kind", "unchecked")
              .put("startBoundMillis", c.startBound().toMillis());
    };
  }

  private static GrantChecking decodeChecking(JsonNode node) {
    String kind = JsonFields.text(node, "kind");
    return switch (kind) {
      case "checked" -> GrantChecking.checked();
      case "unchecked" -> new GrantChecking.Unchecked(millis(node, "startBoundMillis"));
      default -> throw JsonFields.unknownKind("grant checking", kind);
    };
  }

  private static ObjectNode encodeUpstream(UpstreamDefinition upstream) {
    return JsonFields.object()
        .put("id", upstream.id().value())
        .put("zone", upstream.zone().value())
        .put("cell", upstream.cell().value())
        .put("ip", upstream.address().ip())
        .put("port", upstream.address().port())
        .put("concurrencyLimit", upstream.concurrencyLimit())
        .put("connectionLimit", upstream.connectionLimit());
  }

  private static UpstreamDefinition decodeUpstream(JsonNode node) {
    return new UpstreamDefinition(
        UpstreamId.of(JsonFields.text(node, "id")),
        ZoneName.of(JsonFields.text(node, "zone")),
        CellId.of(JsonFields.text(node, "cell")),
        NetworkAddress.of(JsonFields.text(node, "ip"), JsonFields.integer(node, "port")),
        JsonFields.integer(node, "concurrencyLimit"),
        JsonFields.integer(node, "connectionLimit"));
  }

  private static Duration millis(JsonNode node, String field) {
    return Duration.ofMillis(JsonFields.number(node, field));
  }
}
