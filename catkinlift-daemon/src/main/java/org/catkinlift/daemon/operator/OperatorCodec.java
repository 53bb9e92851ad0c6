package org.catkinlift.daemon.operator;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.daemon.json.IntentCodec;
import org.catkinlift.daemon.json.JsonDecoder;
import org.catkinlift.daemon.json.JsonDecoders;
import org.catkinlift.daemon.json.JsonError;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.PlanCodec;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.PlanRecord;

/**
 * Converts the bodies of the operator API to and from JSON, for the server and the command line.
 * {@link OperatorRequestCodec} converts whole requests.
 */
public final class OperatorCodec {
  private static final JsonFormat FORMAT = new JsonFormat.Api();
  private static final IntentCodec INTENT = new IntentCodec(FORMAT);
  private static final PlanCodec PLAN = new PlanCodec(FORMAT);
  private static final JsonDecoder<OperatorReply> REPLY =
      JsonDecoders.object(OperatorCodec::readReply);
  private static final JsonDecoder<ImmutableList<PlanRecord>> PLANS =
      JsonDecoders.list(PLAN.decoder(), "array of plans");
  private static final JsonDecoder<ImmutableMap<String, String>> FACTS =
      JsonDecoders.map(anyText());
  private static final JsonDecoder<ImmutableList<String>> DECISIONS =
      JsonDecoders.list(anyText(), "array of strings");
  private static final ImmutableMap<String, OperatorReply.Reason> REASONS =
      Arrays.stream(OperatorReply.Reason.values())
          .collect(toImmutableMap(OperatorCodec::nameOf, r -> r));
  private static final ImmutableMap<String, Function<JsonObjectReader, Optional<OperatorReply>>>
      READERS =
          ImmutableMap.of(
              "plan",
              o -> o.required("plan", PLAN.decoder()).map(OperatorReply.PlanShown::new),
              "plans",
              OperatorCodec::readPlans,
              "facts",
              OperatorCodec::readFacts,
              "failed",
              OperatorCodec::readFailed);

  private OperatorCodec() {}

  /**
   * Decodes an intent.
   *
   * @param text the JSON text
   * @param errors receives all errors in the text
   * @return the intent; empty if an error was added
   */
  public static Optional<Intent> decodeIntent(String text, JsonErrors errors) {
    return decode(text, INTENT.decoder(), errors);
  }

  /**
   * Decodes a document and rejects it if it has any error.
   *
   * @param text the JSON text
   * @param decoder the decoder of the document
   * @param errors receives all errors in the text
   * @param <T> the type of the decoded value
   * @return the value; empty if an error was added
   */
  public static <T> Optional<T> decode(String text, JsonDecoder<T> decoder, JsonErrors errors) {
    return StrictJson.parse(text, errors)
        .flatMap(node -> decoder.decode(node, JsonError.ROOT, errors))
        .filter(v -> errors.isEmpty());
  }

  /**
   * Decodes a reply.
   *
   * @param text the JSON text
   * @param errors receives all errors in the text
   * @return the reply; empty if an error was added
   */
  public static Optional<OperatorReply> decodeReply(String text, JsonErrors errors) {
    return decode(text, REPLY, errors);
  }

  /**
   * Encodes a reply.
   *
   * @param reply the reply
   * @return the JSON object
   */
  public static ObjectNode encode(OperatorReply reply) {
    return switch (reply) {
      case OperatorReply.PlanShown r -> {
        ObjectNode node = type("plan");
        node.set("plan", PLAN.encode(r.plan()));
        yield node;
      }
      case OperatorReply.PlansListed r -> {
        ObjectNode node = type("plans");
        ArrayNode plans = node.putArray("plans");
        r.plans().forEach(p -> plans.add(PLAN.encode(p)));
        yield node.put("hasMore", r.hasMore());
      }
      case OperatorReply.Facts r -> {
        ObjectNode node = type("facts");
        ObjectNode facts = node.putObject("facts");
        r.facts().forEach(facts::put);
        ArrayNode decisions = node.putArray("decisions");
        r.decisions().forEach(decisions::add);
        yield node;
      }
      case OperatorReply.Failed r ->
          type("failed").put("reason", nameOf(r.reason())).put("detail", r.detail());
    };
  }

  /**
   * Encodes the errors of a malformed request.
   *
   * @param errors the errors
   * @return the JSON object
   */
  public static JsonNode encodeErrors(ImmutableList<JsonError> errors) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ArrayNode array = node.putArray("errors");
    for (JsonError error : errors) {
      array
          .addObject()
          .put("path", error.path())
          .put("value", error.value())
          .put("allowed", error.allowed());
    }
    return node;
  }

  private static Optional<OperatorReply> readReply(JsonObjectReader object) {
    Optional<Function<JsonObjectReader, Optional<OperatorReply>>> reader =
        object.required("type", JsonDecoders.choice(READERS));
    if (reader.isEmpty()) {
      object.ignoreUnknownKeys();
    }
    return reader.flatMap(r -> r.apply(object));
  }

  private static Optional<OperatorReply> readPlans(JsonObjectReader object) {
    Optional<ImmutableList<PlanRecord>> plans = object.required("plans", PLANS);
    Optional<Boolean> hasMore = object.required("hasMore", JsonDecoders.bool());
    if (plans.isEmpty() || hasMore.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new OperatorReply.PlansListed(plans.get(), hasMore.get()));
  }

  private static Optional<OperatorReply> readFacts(JsonObjectReader object) {
    Optional<ImmutableMap<String, String>> facts = object.required("facts", FACTS);
    Optional<ImmutableList<String>> decisions = object.required("decisions", DECISIONS);
    if (facts.isEmpty() || decisions.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new OperatorReply.Facts(facts.get(), decisions.get()));
  }

  private static Optional<OperatorReply> readFailed(JsonObjectReader object) {
    Optional<OperatorReply.Reason> reason = object.required("reason", JsonDecoders.choice(REASONS));
    Optional<String> detail = object.required("detail", anyText());
    if (reason.isEmpty() || detail.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new OperatorReply.Failed(reason.get(), detail.get()));
  }

  private static JsonDecoder<String> anyText() {
    return JsonDecoders.parsed("string", Optional::of);
  }

  private static String nameOf(OperatorReply.Reason reason) {
    return Ascii.toLowerCase(reason.name()).replace('_', '-');
  }

  private static ObjectNode type(String type) {
    return JsonNodeFactory.instance.objectNode().put("type", type);
  }
}
