package org.catkinlift.daemon.platform;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Map;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.Plan;
import org.catkinlift.plans.PlanRecord;

/** Translates plans to and from JSON. */
final class PlanCodec {

  private static final ImmutableMap<String, PlanRecord.State> STATES =
      ImmutableMap.of(
          "open", PlanRecord.State.OPEN,
          "confirmed", PlanRecord.State.CONFIRMED,
          "conflict", PlanRecord.State.CONFLICT);
  private static final ImmutableMap<PlanRecord.State, String> STATE_NAMES =
      STATES.entrySet().stream().collect(toImmutableMap(Map.Entry::getValue, Map.Entry::getKey));

  private PlanCodec() {}

  static ObjectNode encode(PlanRecord record) {
    Plan plan = record.plan();
    ObjectNode node =
        JsonFields.object()
            .put("id", plan.id().value())
            .put("state", STATE_NAMES.get(record.state()))
            .put("configurationVersion", plan.configurationVersion())
            .put("expectedMillis", plan.expectedDuration().toMillis());
    node.set("intent", IntentCodec.encode(plan.intent()));
    ObjectNode versions = node.putObject("assignmentVersions");
    plan.assignmentVersions().forEach((name, epoch) -> versions.set(name, JsonFields.epoch(epoch)));
    node.set("result", VersionedCodec.encodeConfiguration(plan.result()));
    node.set("moves", JsonFields.array(plan.moves(), PlanCodec::encodeMove));
    node.set("loads", JsonFields.array(plan.loads(), PlanCodec::encodeLoad));
    node.set("refusals", JsonFields.names(plan.refusals()));
    return node;
  }

  static PlanRecord decode(JsonNode node) {
    JsonNode versions = JsonFields.required(node, "assignmentVersions");
    ImmutableMap<String, Epoch> assignmentVersions =
        versions.properties().stream()
            .collect(
                toImmutableMap(Map.Entry::getKey, e -> JsonFields.epoch(versions, e.getKey())));
    var plan =
        new Plan(
            PlanId.of(JsonFields.text(node, "id")),
            IntentCodec.decode(JsonFields.required(node, "intent")),
            JsonFields.number(node, "configurationVersion"),
            assignmentVersions,
            VersionedCodec.decodeConfiguration(JsonFields.required(node, "result")),
            JsonFields.list(node, "moves", PlanCodec::decodeMove),
            JsonFields.list(node, "loads", PlanCodec::decodeLoad),
            Duration.ofMillis(JsonFields.number(node, "expectedMillis")),
            JsonFields.nameList(node, "refusals", text -> text));
    return new PlanRecord(plan, decodeState(JsonFields.text(node, "state")));
  }

  private static PlanRecord.State decodeState(String name) {
    PlanRecord.State state = STATES.get(name);
    if (state == null) {
      throw JsonFields.unknownKind("plan state", name);
    }
    return state;
  }

  private static ObjectNode encodeMove(Plan.Move move) {
    ObjectNode node =
        JsonFields.object().put("service", move.service().value()).put("slots", move.slots());
    move.from().ifPresent(u -> node.put("from", u.value()));
    move.to().ifPresent(u -> node.put("to", u.value()));
    return node;
  }

  private static Plan.Move decodeMove(JsonNode node) {
    return new Plan.Move(
        ServiceName.of(JsonFields.text(node, "service")),
        JsonFields.optionalText(node, "from").map(UpstreamId::of),
        JsonFields.optionalText(node, "to").map(UpstreamId::of),
        JsonFields.integer(node, "slots"));
  }

  private static ObjectNode encodeLoad(Plan.Load load) {
    return JsonFields.object()
        .put("subject", load.subject())
        .put("expected", load.expected())
        .put("limit", load.limit());
  }

  private static Plan.Load decodeLoad(JsonNode node) {
    return new Plan.Load(
        JsonFields.text(node, "subject"),
        JsonFields.required(node, "expected").asDouble(),
        JsonFields.integer(node, "limit"));
  }
}
