package org.catkinlift.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.JsonValue;
import org.catkinlift.daemon.json.JsonValues;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Translates configurations to and from JSON. */
public final class ConfigurationCodec {
  /** Reads a configuration. */
  public static final JsonValue<Configuration> VALUE = JsonValues.object(ConfigurationCodec::read);

  private static final JsonValue<ImmutableList<ServiceDefinition>> SERVICES =
      JsonValues.list(ServiceCodec.VALUE, "array of services");

  private ConfigurationCodec() {}

  /**
   * Encodes a configuration.
   *
   * @param configuration the configuration
   * @return the JSON object
   */
  public static ObjectNode encode(Configuration configuration) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("version", configuration.version());
    ArrayNode services = node.putArray("services");
    configuration.services().values().forEach(s -> services.add(ServiceCodec.encode(s)));
    putNames(node, "drainedZones", configuration.drainedZones());
    putNames(node, "lostZones", configuration.lostZones());
    putNames(node, "retiringUpstreams", configuration.retiringUpstreams());
    putNames(node, "retiringHosts", configuration.retiringHosts());
    return node;
  }

  private static void putNames(ObjectNode node, String key, ImmutableSet<?> names) {
    ArrayNode array = node.putArray(key);
    names.forEach(name -> array.add(name.toString()));
  }

  private static Optional<Configuration> read(JsonObjectReader object) {
    Optional<Long> version = object.required("version", JsonValues.longInteger(0));
    Optional<ImmutableList<ServiceDefinition>> services = object.required("services", SERVICES);
    var builder =
        Configuration.builder()
            .services(byName(services.orElse(ImmutableList.of())))
            .drainedZones(names(object, "drainedZones", ZoneName::of))
            .lostZones(names(object, "lostZones", ZoneName::of))
            .retiringUpstreams(names(object, "retiringUpstreams", UpstreamId::of))
            .retiringHosts(names(object, "retiringHosts", HostId::of));
    return version.map(v -> builder.version(v).build());
  }

  private static ImmutableMap<ServiceName, ServiceDefinition> byName(
      ImmutableList<ServiceDefinition> services) {
    var byName = ImmutableMap.<ServiceName, ServiceDefinition>builder();
    services.forEach(s -> byName.put(s.name(), s));
    return byName.buildKeepingLast();
  }

  private static <T> ImmutableSet<T> names(
      JsonObjectReader object, String key, Function<String, T> factory) {
    return object
        .required(key, JsonValues.list(JsonValues.name(factory), "array of names"))
        .map(ImmutableSet::copyOf)
        .orElse(ImmutableSet.of());
  }
}
