package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Converts configurations to and from JSON. */
public final class ConfigurationCodec {
  private static final String KIND = "configuration";

  private final FormatRules rules;
  private final ServiceCodec services;

  /**
   * Creates a codec.
   *
   * @param format the JSON format to read and write
   */
  public ConfigurationCodec(JsonFormat format) {
    this.rules = new FormatRules(format);
    this.services = new ServiceCodec(format);
  }

  /**
   * Returns the decoder of configurations.
   *
   * @return the decoder
   */
  public JsonDecoder<Configuration> decoder() {
    return JsonDecoders.object(this::read);
  }

  /**
   * Encodes a configuration.
   *
   * @param configuration the configuration
   * @return the JSON object
   */
  public ObjectNode encode(Configuration configuration) {
    ObjectNode node = rules.object(KIND);
    node.put("version", configuration.version());
    ArrayNode array = node.putArray("services");
    configuration.services().values().forEach(s -> array.add(services.encode(s)));
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

  private Optional<Configuration> read(JsonObjectReader object) {
    rules.allowUnknownKeys(object);
    Optional<Long> version = object.required("version", JsonDecoders.longInteger(0));
    Optional<ImmutableList<ServiceDefinition>> definitions =
        object.required("services", JsonDecoders.list(services.decoder(), "array of services"));
    var builder =
        Configuration.builder()
            .services(byName(object, definitions.orElse(ImmutableList.of())))
            .drainedZones(names(object, "drainedZones", ZoneName::of))
            .lostZones(names(object, "lostZones", ZoneName::of))
            .retiringUpstreams(names(object, "retiringUpstreams", UpstreamId::of))
            .retiringHosts(names(object, "retiringHosts", HostId::of));
    return version.map(v -> builder.version(v).build());
  }

  private static ImmutableMap<ServiceName, ServiceDefinition> byName(
      JsonObjectReader object, ImmutableList<ServiceDefinition> services) {
    var byName = new LinkedHashMap<ServiceName, ServiceDefinition>();
    for (ServiceDefinition service : services) {
      if (byName.put(service.name(), service) != null) {
        object
            .errors()
            .add(object.pathOf("services"), service.name(), "services with different names");
      }
    }
    return ImmutableMap.copyOf(byName);
  }

  private static <T> ImmutableSet<T> names(
      JsonObjectReader object, String key, Function<String, T> factory) {
    return object
        .required(key, JsonDecoders.list(JsonDecoders.name(factory), "array of names"))
        .map(ImmutableSet::copyOf)
        .orElse(ImmutableSet.of());
  }
}
