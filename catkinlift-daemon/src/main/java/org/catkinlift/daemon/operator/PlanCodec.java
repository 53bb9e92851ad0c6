package org.catkinlift.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.JsonValue;
import org.catkinlift.daemon.json.JsonValues;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.Plan;
import org.catkinlift.plans.PlanRecord;

/** Translates plans and their state to and from JSON. */
public final class PlanCodec {
  /** Reads a plan with its state. */
  public static final JsonValue<PlanRecord> VALUE = JsonValues.object(PlanCodec::read);

  private static final ImmutableMap<String, PlanRecord.State> STATES =
      ImmutableMap.of(
          "open", PlanRecord.State.OPEN,
          "confirmed", PlanRecord.State.CONFIRMED,
          "conflict", PlanRecord.State.CONFLICT);
  private static final JsonValue<Epoch> EPOCH =
      JsonValues.parsed("string TERM.COUNTER", PlanCodec::parseEpoch);
  private static final JsonValue<ImmutableMap<String, Epoch>> VERSIONS = JsonValues.map(EPOCH);
  private static final JsonValue<ImmutableList<Plan.Move>> MOVES =
      JsonValues.list(JsonValues.object(PlanCodec::readMove), "array of moves");
  private static final JsonValue<ImmutableList<Plan.Load>> LOADS =
      JsonValues.list(JsonValues.object(PlanCodec::readLoad), "array of loads");
  private static final JsonValue<Duration> DURATION =
      JsonValues.millis(Duration.ZERO, Duration.ofDays(365));
  private static final JsonValue<ImmutableList<String>> REFUSALS =
      JsonValues.list(JsonValues.text(), "array of strings");

  private PlanCodec() {}

  /**
   * Encodes a plan with its state.
   *
   * @param plan the plan
   * @return the JSON object
   */
  public static ObjectNode encode(PlanRecord plan) {
    Plan p = plan.plan();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("id", p.id().value());
    node.put("state", stateName(plan.state()));
    node.set("intent", IntentCodec.encode(p.intent()));
    node.put("configurationVersion", p.configurationVersion());
    ObjectNode versions = node.putObject("assignmentVersions");
    p.assignmentVersions().forEach((name, epoch) -> versions.put(name, epoch.toString()));
    node.set("result", ConfigurationCodec.encode(p.result()));
    ArrayNode moves = node.putArray("moves");
    p.moves().forEach(m -> moves.add(encode(m)));
    ArrayNode loads = node.putArray("loads");
    p.loads().forEach(l -> loads.add(encode(l)));
    node.put("expectedDurationMs", p.expectedDuration().toMillis());
    ArrayNode refusals = node.putArray("refusals");
    p.refusals().forEach(refusals::add);
    return node;
  }

  /**
   * Returns the word for a state, as the API and the command line print it.
   *
   * @param state the state
   * @return the word
   */
  public static String stateName(PlanRecord.State state) {
    return switch (state) {
      case OPEN -> "open";
      case CONFIRMED -> "confirmed";
      case CONFLICT -> "conflict";
    };
  }

  private static ObjectNode encode(Plan.Move move) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("service", move.service().value());
    move.from().ifPresent(u -> node.put("from", u.value()));
    move.to().ifPresent(u -> node.put("to", u.value()));
    return node.put("slots", move.slots());
  }

  private static ObjectNode encode(Plan.Load load) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("subject", load.subject())
        .put("expected", load.expected())
        .put("limit", load.limit());
  }

  private static Optional<PlanRecord> read(JsonObjectReader object) {
    Optional<PlanId> id = object.required("id", JsonValues.name(PlanId::of));
    Optional<PlanRecord.State> state = object.required("state", JsonValues.choice(STATES));
    Optional<Intent> intent = object.required("intent", IntentCodec.VALUE);
    Optional<Long> version = object.required("configurationVersion", JsonValues.longInteger(0));
    Optional<ImmutableMap<String, Epoch>> versions =
        object.required("assignmentVersions", VERSIONS);
    Optional<Configuration> result = object.required("result", ConfigurationCodec.VALUE);
    Optional<ImmutableList<Plan.Move>> moves = object.required("moves", MOVES);
    Optional<ImmutableList<Plan.Load>> loads = object.required("loads", LOADS);
    Optional<Duration> duration = object.required("expectedDurationMs", DURATION);
    Optional<ImmutableList<String>> refusals = object.required("refusals", REFUSALS);
    if (!object.errors().isEmpty()) {
      return Optional.empty();
    }
    var plan =
        new Plan(
            id.orElseThrow(),
            intent.orElseThrow(),
            version.orElseThrow(),
            versions.orElseThrow(),
            result.orElseThrow(),
            moves.orElseThrow(),
            loads.orElseThrow(),
            duration.orElseThrow(),
            refusals.orElseThrow());
    return Optional.of(new PlanRecord(plan, state.orElseThrow()));
  }

  private static Optional<Plan.Move> readMove(JsonObjectReader object) {
    Optional<ServiceName> service = object.required("service", JsonValues.name(ServiceName::of));
    Optional<UpstreamId> from = object.optional("from", JsonValues.name(UpstreamId::of));
    Optional<UpstreamId> to = object.optional("to", JsonValues.name(UpstreamId::of));
    Optional<Integer> slots = object.required("slots", JsonValues.integer(0, Integer.MAX_VALUE));
    if (service.isEmpty() || slots.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Plan.Move(service.get(), from, to, slots.get()));
  }

  private static Optional<Plan.Load> readLoad(JsonObjectReader object) {
    Optional<String> subject = object.required("subject", JsonValues.text());
    Optional<Double> expected =
        object.required("expected", JsonValues.number(0, Integer.MAX_VALUE));
    Optional<Integer> limit = object.required("limit", JsonValues.integer(0, Integer.MAX_VALUE));
    if (subject.isEmpty() || expected.isEmpty() || limit.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Plan.Load(subject.get(), expected.get(), limit.get()));
  }

  private static Optional<Epoch> parseEpoch(String text) {
    List<String> parts = Splitter.on('.').splitToList(text);
    if (parts.size() != 2) {
      return Optional.empty();
    }
    Long term = Longs.tryParse(parts.get(0));
    Long counter = Longs.tryParse(parts.get(1));
    if (term == null || counter == null) {
      return Optional.empty();
    }
    return Optional.of(Epoch.of(term, counter));
  }
}
