package org.catkinlift.daemon.json;

import static com.google.common.collect.ImmutableList.sortedCopyOf;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.model.CellId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Converts service definitions to and from JSON. */
public final class ServiceCodec {
  private static final int MAX_CONCURRENCY = 100_000;
  private static final JsonDecoder<ImmutableList<ZoneName>> ZONES =
      JsonDecoders.list(JsonDecoders.name(ZoneName::of), "array of zone names");

  private final FormatRules rules;
  private final ServiceKindCodec kinds;
  private final JsonDecoder<ImmutableList<UpstreamDefinition>> upstreams =
      JsonDecoders.list(JsonDecoders.object(this::readUpstream), "array of upstreams");

  /**
   * Creates a codec.
   *
   * @param format the JSON format to read and write
   */
  public ServiceCodec(JsonFormat format) {
    this.rules = new FormatRules(format);
    this.kinds = new ServiceKindCodec(rules);
  }

  /**
   * Returns the decoder of service definitions. In the API format, every upstream must be in one of
   * the availability zones of the service.
   *
   * @return the decoder
   */
  public JsonDecoder<ServiceDefinition> decoder() {
    return JsonDecoders.object(this::readService);
  }

  /**
   * Encodes a service definition.
   *
   * @param service the definition
   * @return the JSON object
   */
  public ObjectNode encode(ServiceDefinition service) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("name", service.name().value());
    node.set("kind", kinds.encode(service.kind()));
    var zones = node.putArray("zones");
    service.zones().forEach(z -> zones.add(z.value()));
    var array = node.putArray("upstreams");
    service.upstreams().forEach(u -> array.add(encode(u)));
    return node.put("zoneLimit", service.zoneLimit());
  }

  private ObjectNode encode(UpstreamDefinition upstream) {
    ObjectNode node =
        JsonNodeFactory.instance
            .objectNode()
            .put("id", upstream.id().value())
            .put("zone", upstream.zone().value())
            .put("cell", upstream.cell().value());
    rules.putAddress(node, upstream.address());
    return node.put("concurrencyLimit", upstream.concurrencyLimit())
        .put("connectionLimit", upstream.connectionLimit());
  }

  private Optional<ServiceDefinition> readService(JsonObjectReader object) {
    rules.allowUnknownKeys(object);
    Optional<ServiceName> name = object.required("name", JsonDecoders.name(ServiceName::of));
    Optional<ServiceKind> kind = object.required("kind", kinds.decoder());
    Optional<ImmutableList<ZoneName>> zones = object.required("zones", ZONES);
    Optional<ImmutableList<UpstreamDefinition>> definitions =
        object.required("upstreams", upstreams);
    int zoneLimit =
        rules.optionalInApi(object, "zoneLimit", rules.integer(0, Integer.MAX_VALUE)).orElse(0);
    if (name.isEmpty() || kind.isEmpty() || zones.isEmpty() || definitions.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new ServiceDefinition(
            name.get(),
            kind.get(),
            ImmutableSet.copyOf(zones.get()),
            validated(object, zones.get(), definitions.get()),
            zoneLimit));
  }

  /** Validates and sorts the upstreams of operator input; rows keep their stored order. */
  private ImmutableList<UpstreamDefinition> validated(
      JsonObjectReader object,
      ImmutableList<ZoneName> zones,
      ImmutableList<UpstreamDefinition> definitions) {
    if (!rules.isOperatorInput()) {
      return definitions;
    }
    checkUpstreams(object, zones, definitions);
    return sortedCopyOf(Comparator.comparing(UpstreamDefinition::id), definitions);
  }

  private Optional<UpstreamDefinition> readUpstream(JsonObjectReader object) {
    rules.allowUnknownKeys(object);
    Optional<UpstreamId> id = object.required("id", JsonDecoders.name(UpstreamId::of));
    Optional<ZoneName> zone = object.required("zone", JsonDecoders.name(ZoneName::of));
    Optional<CellId> cell = rules.optionalInApi(object, "cell", JsonDecoders.name(CellId::of));
    Optional<NetworkAddress> address = rules.address(object);
    var limit = rules.integer(1, MAX_CONCURRENCY);
    Optional<Integer> concurrency = object.required("concurrencyLimit", limit);
    Optional<Integer> connections = object.required("connectionLimit", limit);
    if (id.isEmpty() || zone.isEmpty() || address.isEmpty()) {
      return Optional.empty();
    }
    if (concurrency.isEmpty() || connections.isEmpty()) {
      return Optional.empty();
    }
    CellId cellOrDefault = cell.orElseGet(() -> CellId.of(zone.get().value()));
    return Optional.of(
        new UpstreamDefinition(
            id.get(),
            zone.get(),
            cellOrDefault,
            address.get(),
            concurrency.get(),
            connections.get()));
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
