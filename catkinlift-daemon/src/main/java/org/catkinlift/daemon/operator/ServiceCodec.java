package org.catkinlift.daemon.operator;

import static com.google.common.collect.ImmutableList.sortedCopyOf;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.JsonValue;
import org.catkinlift.daemon.json.JsonValues;
import org.catkinlift.model.CellId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Translates service definitions to and from JSON. */
public final class ServiceCodec {
  /** Reads a service definition; every upstream must lie in one of its availability zones. */
  public static final JsonValue<ServiceDefinition> VALUE =
      JsonValues.object(ServiceCodec::readService);

  private static final int MAX_CONCURRENCY = 100_000;
  private static final JsonValue<ImmutableList<ZoneName>> ZONES =
      JsonValues.list(JsonValues.name(ZoneName::of), "array of zone names");
  private static final JsonValue<ImmutableList<UpstreamDefinition>> UPSTREAMS =
      JsonValues.list(JsonValues.object(ServiceCodec::readUpstream), "array of upstreams");

  private ServiceCodec() {}

  /**
   * Encodes a service definition.
   *
   * @param service the definition
   * @return the JSON object
   */
  public static ObjectNode encode(ServiceDefinition service) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("name", service.name().value());
    node.set("kind", KindCodec.encode(service.kind()));
    var zones = node.putArray("zones");
    service.zones().forEach(z -> zones.add(z.value()));
    var upstreams = node.putArray("upstreams");
    service.upstreams().forEach(u -> upstreams.add(encode(u)));
    return node.put("zoneLimit", service.zoneLimit());
  }

  private static ObjectNode encode(UpstreamDefinition upstream) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", upstream.id().value())
        .put("zone", upstream.zone().value())
        .put("cell", upstream.cell().value())
        .put("address", JsonValues.formatAddress(upstream.address()))
        .put("concurrencyLimit", upstream.concurrencyLimit())
        .put("connectionLimit", upstream.connectionLimit());
  }

  private static Optional<ServiceDefinition> readService(JsonObjectReader object) {
    Optional<ServiceName> name = object.required("name", JsonValues.name(ServiceName::of));
    Optional<ServiceKind> kind = object.required("kind", KindCodec.VALUE);
    Optional<ImmutableList<ZoneName>> zones = object.required("zones", ZONES);
    Optional<ImmutableList<UpstreamDefinition>> upstreams = object.required("upstreams", UPSTREAMS);
    int zoneLimit =
        object.optional("zoneLimit", JsonValues.integer(0, Integer.MAX_VALUE)).orElse(0);
    if (name.isEmpty() || kind.isEmpty() || zones.isEmpty() || upstreams.isEmpty()) {
      return Optional.empty();
    }
    checkUpstreams(object, zones.get(), upstreams.get());
    var sorted = sortedCopyOf(Comparator.comparing(UpstreamDefinition::id), upstreams.get());
    return Optional.of(
        new ServiceDefinition(
            name.get(), kind.get(), ImmutableSet.copyOf(zones.get()), sorted, zoneLimit));
  }

  private static Optional<UpstreamDefinition> readUpstream(JsonObjectReader object) {
    Optional<UpstreamId> id = object.required("id", JsonValues.name(UpstreamId::of));
    Optional<ZoneName> zone = object.required("zone", JsonValues.name(ZoneName::of));
    Optional<CellId> cell = object.optional("cell", JsonValues.name(CellId::of));
    Optional<NetworkAddress> address = object.required("address", JsonValues.address());
    var limit = JsonValues.integer(1, MAX_CONCURRENCY);
    Optional<Integer> concurrency = object.required("concurrencyLimit", limit);
    Optional<Integer> connections = object.required("connectionLimit", limit);
    if (id.isEmpty() || zone.isEmpty() || address.isEmpty()) {
      return Optional.empty();
    }
    if (concurrency.isEmpty() || connections.isEmpty()) {
      return Optional.empty();
    }
    CellId ownCell = cell.orElseGet(() -> CellId.of(zone.get().value()));
    return Optional.of(
        new UpstreamDefinition(
            id.get(), zone.get(), ownCell, address.get(), concurrency.get(), connections.get()));
  }

  private static void checkUpstreams(
      JsonObjectReader object,
      ImmutableList<ZoneName> zones,
      ImmutableList<UpstreamDefinition> upstreams) {
    String path = object.pathOf("upstreams");
    JsonErrors errors = object.errors();
    Set<UpstreamId> ids = new HashSet<>();
    Set<NetworkAddress> addresses = new HashSet<>();
    for (UpstreamDefinition upstream : upstreams) {
      if (!zones.contains(upstream.zone())) {
        errors.add(path, upstream.zone(), "upstreams in the zones of the service");
      }
      if (!ids.add(upstream.id())) {
        errors.add(path, upstream.id(), "upstreams with different ids");
      }
      if (!addresses.add(upstream.address())) {
        errors.add(path, upstream.address(), "upstreams with different addresses");
      }
    }
  }
}
