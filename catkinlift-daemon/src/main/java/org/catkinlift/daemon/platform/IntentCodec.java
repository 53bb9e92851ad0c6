package org.catkinlift.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;

/** Translates operators' intents to and from JSON. */
final class IntentCodec {

  private static final String PUT_SERVICE = "put-service";
  private static final String REMOVE_SERVICE = "remove-service";
  private static final String DRAIN_ZONE = "drain-zone";
  private static final String RETURN_ZONE = "return-zone";
  private static final String DECLARE_ZONE_LOST = "declare-zone-lost";
  private static final String RETIRE_UPSTREAM = "retire-upstream";
  private static final String RETIRE_HOST = "retire-host";

  private IntentCodec() {}

  static ObjectNode encode(Intent intent) {
    return switch (intent) {
      case Intent.PutService i -> {
        ObjectNode node = kind(PUT_SERVICE);
        node.set("definition", ServiceCodec.encode(i.definition()));
        yield node;
      }
      case Intent.RemoveService i -> kind(REMOVE_SERVICE).put("service", i.service().value());
      case Intent.DrainZone i -> kind(DRAIN_ZONE).put("zone", i.zone().value());
      case Intent.ReturnZone i -> kind(RETURN_ZONE).put("zone", i.zone().value());
      case Intent.DeclareZoneLost i ->
          kind(DECLARE_ZONE_LOST).put("zone", i.zone().value()).put("hostsAreOff", i.hostsAreOff());
      case Intent.RetireUpstream i -> kind(RETIRE_UPSTREAM).put("upstream", i.upstream().value());
      case Intent.RetireHost i -> kind(RETIRE_HOST).put("host", i.host().value());
    };
  }

  static Intent decode(JsonNode node) {
    String kind = JsonFields.text(node, "kind");
    return switch (kind) {
      case PUT_SERVICE ->
          new Intent.PutService(ServiceCodec.decode(JsonFields.required(node, "definition")));
      case REMOVE_SERVICE ->
          new Intent.RemoveService(ServiceName.of(JsonFields.text(node, "service")));
      case DRAIN_ZONE -> new Intent.DrainZone(zone(node));
      case RETURN_ZONE -> new Intent.ReturnZone(zone(node));
      case DECLARE_ZONE_LOST ->
          new Intent.DeclareZoneLost(zone(node), JsonFields.flag(node, "hostsAreOff"));
      case RETIRE_UPSTREAM ->
          new Intent.RetireUpstream(UpstreamId.of(JsonFields.text(node, "upstream")));
      case RETIRE_HOST -> new Intent.RetireHost(HostId.of(JsonFields.text(node, "host")));
      default -> throw JsonFields.unknownKind("intent", kind);
    };
  }

  private static ZoneName zone(JsonNode node) {
    return ZoneName.of(JsonFields.text(node, "zone"));
  }

  private static ObjectNode kind(String kind) {
    return JsonFields.object().put("kind", kind);
  }
}
