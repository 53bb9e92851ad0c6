package org.catkinlift.standin.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.Map;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;

/** Converts control requests and responses to and from JSON. */
final class ControlJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ControlJson() {}

  /**
   * Parses JSON text.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body is not JSON", e);
    }
  }

  /** Parses a grant; slots are encoded as ranges {@code [first, count, term, counter]}. */
  static UpstreamRequest.Grant toGrant(JsonNode node) {
    var slots = ImmutableSortedMap.<Integer, Epoch>naturalOrder();
    for (JsonNode range : node.path("slots")) {
      for (int i = 0; i < range.path(1).asInt(); i++) {
        slots.put(range.path(0).asInt() + i, epoch(range.path(2), range.path(3)));
      }
    }
    var overrides = ImmutableSortedMap.<String, Epoch>naturalOrder();
    for (Map.Entry<String, JsonNode> e : node.path("overrides").properties()) {
      overrides.put(e.getKey(), epoch(e.getValue()));
    }
    return new UpstreamRequest.Grant(
        ServiceName.of(node.path("service").asText()),
        node.path("instance").asText(),
        epoch(node.path("sequence")),
        node.path("expiresAtMillis").asLong(),
        HostId.of(node.path("dispatcher").asText()),
        slots.buildOrThrow(),
        overrides.buildOrThrow());
  }

  /** Parses a release; slots are encoded as ranges {@code [first, count]}. */
  static UpstreamRequest.Release toRelease(JsonNode node) {
    var slots = ImmutableSortedSet.<Integer>naturalOrder();
    for (JsonNode range : node.path("slots")) {
      for (int i = 0; i < range.path(1).asInt(); i++) {
        slots.add(range.path(0).asInt() + i);
      }
    }
    var overrides = ImmutableSortedSet.<String>naturalOrder();
    node.path("overrides").forEach(k -> overrides.add(k.asText()));
    return new UpstreamRequest.Release(
        ServiceName.of(node.path("service").asText()),
        epoch(node.path("sequence")),
        slots.build(),
        overrides.build());
  }

  static String ofReply(Reply reply) {
    return switch (reply) {
      case Reply.Probed r -> state("probed", r.instance(), r.clockMillis(), r.sequence());
      case Reply.Granted r -> state("granted", r.instance(), r.clockMillis(), r.sequence());
      case Reply.Released r -> state("released", r.instance(), r.clockMillis(), r.sequence());
      case Reply.Releasing r -> state("releasing", r.instance(), r.clockMillis(), r.sequence());
      case Reply.Outdated r -> state("outdated", r.instance(), r.clockMillis(), r.newest());
      case Reply.NoAnswer r -> "{}";
    };
  }

  static String ofLoad(LoadReport load, UpstreamCore core) {
    return MAPPER
        .createObjectNode()
        .put("running", load.running())
        .put("waiting", load.waiting())
        .put("draining", core.draining())
        .put("instance", core.instance())
        .toString();
  }

  static String ofAnswer(Work work, UpstreamSettings settings, String instance) {
    return MAPPER
        .createObjectNode()
        .put("key", work.task().key())
        .put("requestId", work.requestId())
        .put("upstream", settings.id().value())
        .put("instance", instance)
        .toString();
  }

  /** Parses faults; fields absent from the JSON keep their current values. */
  static UpstreamFaults toFaults(JsonNode node, UpstreamFaults current) {
    LoadReporting reporting = current.loadReporting();
    if (node.has("loadLagMillis")) {
      reporting = new LoadReporting.Lagging(Duration.ofMillis(node.get("loadLagMillis").asLong()));
    }
    if (node.has("reportedRunning")) {
      reporting = new LoadReporting.Misleading(node.get("reportedRunning").asInt());
    }
    return new UpstreamFaults(
        node.path("frozen").asBoolean(current.frozen()),
        node.path("slowFactor").asDouble(current.slowFactor()),
        reporting);
  }

  private static String state(String outcome, String instance, long clockMillis, Epoch sequence) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("outcome", outcome)
            .put("instance", instance)
            .put("clockMillis", clockMillis);
    node.putArray("sequence").add(sequence.term()).add(sequence.counter());
    return node.toString();
  }

  private static Epoch epoch(JsonNode pair) {
    return epoch(pair.path(0), pair.path(1));
  }

  private static Epoch epoch(JsonNode term, JsonNode counter) {
    return Epoch.of(term.asLong(), counter.asLong());
  }
}
