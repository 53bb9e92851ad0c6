package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;

/** Converts intents to and from JSON. */
public final class IntentCodec {
  private final FormatRules rules;
  private final ServiceCodec services;
  private final ImmutableMap<String, Function<JsonObjectReader, Optional<Intent>>> readers =
      ImmutableMap.of(
          "put-service",
          this::readPutService,
          "remove-service",
          o -> name(o, "service", ServiceName::of).map(Intent.RemoveService::new),
          "drain-zone",
          o -> name(o, "zone", ZoneName::of).map(Intent.DrainZone::new),
          "return-zone",
          o -> name(o, "zone", ZoneName::of).map(Intent.ReturnZone::new),
          "declare-zone-lost",
          this::readDeclareZoneLost,
          "retire-upstream",
          o -> name(o, "upstream", UpstreamId::of).map(Intent.RetireUpstream::new),
          "retire-host",
          o -> name(o, "host", HostId::of).map(Intent.RetireHost::new));

  /**
   * Creates a codec.
   *
   * @param format the JSON format to read and write
   */
  public IntentCodec(JsonFormat format) {
    this.rules = new FormatRules(format);
    this.services = new ServiceCodec(format);
  }

  /**
   * Returns the decoder of intents.
   *
   * @return the decoder
   */
  public JsonDecoder<Intent> decoder() {
    return JsonDecoders.object(this::read);
  }

  /**
   * Encodes an intent.
   *
   * @param intent the intent
   * @return the JSON object
   */
  public ObjectNode encode(Intent intent) {
    return switch (intent) {
      case Intent.PutService i -> {
        ObjectNode node = node("put-service");
        node.set(rules.definitionKey(), services.encode(i.definition()));
        yield node;
      }
      case Intent.RemoveService i -> node("remove-service").put("service", i.service().value());
      case Intent.DrainZone i -> node("drain-zone").put("zone", i.zone().value());
      case Intent.ReturnZone i -> node("return-zone").put("zone", i.zone().value());
      case Intent.DeclareZoneLost i ->
          node("declare-zone-lost")
              .put("zone", i.zone().value())
              .put("hostsAreOff", i.hostsAreOff());
      case Intent.RetireUpstream i -> node("retire-upstream").put("upstream", i.upstream().value());
      case Intent.RetireHost i -> node("retire-host").put("host", i.host().value());
    };
  }

  private Optional<Intent> read(JsonObjectReader object) {
    rules.allowUnknownKeys(object);
    Optional<Function<JsonObjectReader, Optional<Intent>>> reader =
        object.required(rules.intentKey(), JsonDecoders.choice(readers));
    if (reader.isEmpty()) {
      object.ignoreUnknownKeys();
    }
    return reader.flatMap(r -> r.apply(object));
  }

  private Optional<Intent> readPutService(JsonObjectReader object) {
    return object.required(rules.definitionKey(), services.decoder()).map(Intent.PutService::new);
  }

  private Optional<Intent> readDeclareZoneLost(JsonObjectReader object) {
    Optional<ZoneName> zone = name(object, "zone", ZoneName::of);
    boolean hostsAreOff =
        rules.optionalInApi(object, "hostsAreOff", JsonDecoders.bool()).orElse(false);
    return zone.map(z -> new Intent.DeclareZoneLost(z, hostsAreOff));
  }

  private static <T> Optional<T> name(
      JsonObjectReader object, String key, Function<String, T> factory) {
    return object.required(key, JsonDecoders.name(factory));
  }

  private ObjectNode node(String intent) {
    return JsonNodeFactory.instance.objectNode().put(rules.intentKey(), intent);
  }
}
