package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.Plan;
import org.catkinlift.plans.PlanRecord;

/** Converts plans and their state to and from JSON. */
public final class PlanCodec {
  private static final ImmutableMap<String, PlanRecord.State> STATES =
      ImmutableMap.of(
          "open", PlanRecord.State.OPEN,
          "confirmed", PlanRecord.State.CONFIRMED,
          "conflict", PlanRecord.State.CONFLICT);
  private static final Duration MAX_DURATION = Duration.ofDays(365);
  private static final JsonDecoder<ImmutableList<String>> REFUSALS =
      JsonDecoders.list(JsonDecoders.text(), "array of strings");

  private final FormatRules rules;
  private final IntentCodec intents;
  private final ConfigurationCodec configurations;
  private final JsonDecoder<ImmutableList<Plan.Move>> moves =
      JsonDecoders.list(JsonDecoders.object(this::readMove), "array of moves");
  private final JsonDecoder<ImmutableList<Plan.Load>> loads =
      JsonDecoders.list(JsonDecoders.object(this::readLoad), "array of loads");

  /**
   * Creates a codec.
   *
   * @param format the JSON format to read and write
   */
  public PlanCodec(JsonFormat format) {
    this.rules = new FormatRules(format);
    this.intents = new IntentCodec(format);
    this.configurations = new ConfigurationCodec(format);
  }

  /**
   * Returns the decoder of plans with their state.
   *
   * @return the decoder
   */
  public JsonDecoder<PlanRecord> decoder() {
    return JsonDecoders.object(this::read);
  }

  /**
   * Encodes a plan with its state.
   *
   * @param plan the plan
   * @return the JSON object
   */
  public ObjectNode encode(PlanRecord plan) {
    Plan p = plan.plan();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("id", p.id().value());
    node.put("state", stateName(plan.state()));
    node.set("intent", intents.encode(p.intent()));
    node.put("configurationVersion", p.configurationVersion());
    ObjectNode versions = node.putObject("assignmentVersions");
    p.assignmentVersions().forEach((name, epoch) -> versions.set(name, rules.encode(epoch)));
    node.set("result", configurations.encode(p.result()));
    ArrayNode moveArray = node.putArray("moves");
    p.moves().forEach(m -> moveArray.add(encode(m)));
    ArrayNode loadArray = node.putArray("loads");
    p.loads().forEach(l -> loadArray.add(encode(l)));
    node.put(rules.durationKey(), p.expectedDuration().toMillis());
    ArrayNode refusals = node.putArray("refusals");
    p.refusals().forEach(refusals::add);
    return node;
  }

  /**
   * Returns the name of a state in the API and in the output of the command line.
   *
   * @param state the state
   * @return the name
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

  private Optional<PlanRecord> read(JsonObjectReader object) {
    rules.allowUnknownKeys(object);
    Optional<PlanId> id = object.required("id", JsonDecoders.name(PlanId::of));
    Optional<PlanRecord.State> state = object.required("state", JsonDecoders.choice(STATES));
    Optional<Intent> intent = object.required("intent", intents.decoder());
    Optional<Long> version = object.required("configurationVersion", JsonDecoders.longInteger(0));
    Optional<ImmutableMap<String, Epoch>> versions =
        object.required("assignmentVersions", JsonDecoders.map(rules.epoch()));
    Optional<Configuration> result = object.required("result", configurations.decoder());
    Optional<ImmutableList<Plan.Move>> readMoves = object.required("moves", moves);
    Optional<ImmutableList<Plan.Load>> readLoads = object.required("loads", loads);
    Optional<Duration> duration =
        object.required(rules.durationKey(), rules.millis(Duration.ZERO, MAX_DURATION));
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
            readMoves.orElseThrow(),
            readLoads.orElseThrow(),
            duration.orElseThrow(),
            refusals.orElseThrow());
    return Optional.of(new PlanRecord(plan, state.orElseThrow()));
  }

  private Optional<Plan.Move> readMove(JsonObjectReader object) {
    rules.allowUnknownKeys(object);
    Optional<ServiceName> service = object.required("service", JsonDecoders.name(ServiceName::of));
    Optional<UpstreamId> from = object.optional("from", JsonDecoders.name(UpstreamId::of));
    Optional<UpstreamId> to = object.optional("to", JsonDecoders.name(UpstreamId::of));
    Optional<Integer> slots = object.required("slots", JsonDecoders.integer(0, Integer.MAX_VALUE));
    if (service.isEmpty() || slots.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Plan.Move(service.get(), from, to, slots.get()));
  }

  private Optional<Plan.Load> readLoad(JsonObjectReader object) {
    rules.allowUnknownKeys(object);
    Optional<String> subject = object.required("subject", JsonDecoders.text());
    Optional<Double> expected =
        object.required("expected", JsonDecoders.number(0, Integer.MAX_VALUE));
    Optional<Integer> limit = object.required("limit", JsonDecoders.integer(0, Integer.MAX_VALUE));
    if (subject.isEmpty() || expected.isEmpty() || limit.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Plan.Load(subject.get(), expected.get(), limit.get()));
  }
}
