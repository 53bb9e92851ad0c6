package org.catkinlift.daemon.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.SlotRuns;

/**
 * Encodes control requests to upstreams as JSON and decodes the responses.
 *
 * <p>Adjacent slots are encoded as runs, because a grant lists all slots of an upstream four times
 * a second.
 */
final class ControlCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ControlCodec() {}

  static String encode(UpstreamRequest.Grant grant) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("service", grant.service().value())
            .put("instance", grant.instance())
            .put("expiresAtMillis", grant.expiresAtMillis())
            .put("dispatcher", grant.dispatcher().value());
    putEpoch(node.putArray("sequence"), grant.sequence());
    putGrantedSlots(node.putArray("slots"), grant.slots());
    ObjectNode overrides = node.putObject("overrides");
    grant.overrides().forEach((key, epoch) -> putEpoch(overrides.putArray(key), epoch));
    return node.toString();
  }

  static String encode(UpstreamRequest.Release release) {
    ObjectNode node = MAPPER.createObjectNode().put("service", release.service().value());
    putEpoch(node.putArray("sequence"), release.sequence());
    putReleasedSlots(node.putArray("slots"), release.slots());
    ArrayNode overrides = node.putArray("overrides");
    release.overrides().forEach(overrides::add);
    return node.toString();
  }

  /**
   * Decodes a response body.
   *
   * @throws UpstreamException with code {@code MALFORMED_RESPONSE} if the body is malformed
   */
  static Reply decode(String body) {
    JsonNode node = parse(body);
    String instance = required(node, "instance").asText();
    long clockMillis = required(node, "clockMillis").asLong();
    JsonNode sequenceFields = required(node, "sequence");
    Epoch sequence = Epoch.of(sequenceFields.path(0).asLong(), sequenceFields.path(1).asLong());
    String outcome = required(node, "outcome").asText();
    return switch (outcome) {
      case "probed" -> new Reply.Probed(instance, clockMillis, sequence);
      case "granted" -> new Reply.Granted(instance, clockMillis, sequence);
      case "released" -> new Reply.Released(instance, clockMillis, sequence);
      case "releasing" -> new Reply.Releasing(instance, clockMillis, sequence);
      case "outdated" -> new Reply.Outdated(instance, clockMillis, sequence);
      default -> throw malformed("upstream response has unknown outcome '" + outcome + "'");
    };
  }

  private static void putGrantedSlots(ArrayNode runs, ImmutableSortedMap<Integer, Epoch> slots) {
    for (var run : SlotRuns.of(slots.keySet(), slots::get)) {
      putEpoch(runs.addArray().add(run.first()).add(run.count()), run.value());
    }
  }

  private static void putReleasedSlots(ArrayNode runs, ImmutableSortedSet<Integer> slots) {
    for (var run : SlotRuns.of(slots, slot -> true)) {
      runs.addArray().add(run.first()).add(run.count());
    }
  }

  private static void putEpoch(ArrayNode array, Epoch epoch) {
    array.add(epoch.term()).add(epoch.counter());
  }

  private static JsonNode parse(String body) {
    try {
      return MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      throw new UpstreamException(
          UpstreamException.Code.MALFORMED_RESPONSE, "upstream response is not valid JSON", e);
    }
  }

  private static JsonNode required(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null) {
      throw malformed("upstream response lacks field '" + field + "'");
    }
    return value;
  }

  private static UpstreamException malformed(String message) {
    return new UpstreamException(UpstreamException.Code.MALFORMED_RESPONSE, message);
  }
}
