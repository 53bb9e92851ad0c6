package org.catkinlift.daemon.platform;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.catkinlift.daemon.json.JsonDecoder;
import org.catkinlift.daemon.json.JsonError;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.model.Epoch;

/** Reads and writes typed fields of JSON rows; invalid fields are malformed rows. */
final class JsonFields {

  private static final ImmutableSet<String> VARIANT_KEYS = ImmutableSet.of("kind", "state");

  private JsonFields() {}

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  static <T> ArrayNode array(Collection<T> values, Function<T, JsonNode> encode) {
    return array().addAll(values.stream().map(encode).collect(toImmutableList()));
  }

  static ArrayNode names(Collection<?> values) {
    ArrayNode array = array();
    values.forEach(v -> array.add(v.toString()));
    return array;
  }

  static ArrayNode epoch(Epoch epoch) {
    return array().add(epoch.term()).add(epoch.counter());
  }

  static Epoch epoch(JsonNode parent, String field) {
    JsonNode node = required(parent, field);
    return Epoch.of(number(node, 0), number(node, 1));
  }

  static JsonNode required(JsonNode parent, String field) {
    JsonNode value = parent.get(field);
    if (value == null || value.isNull()) {
      throw malformed("field '" + field + "' is missing");
    }
    return value;
  }

  static String text(JsonNode parent, String field) {
    JsonNode value = required(parent, field);
    if (!value.isTextual()) {
      throw malformed("field '" + field + "' is not a string");
    }
    return value.textValue();
  }

  static long number(JsonNode parent, String field) {
    JsonNode value = required(parent, field);
    if (!value.canConvertToLong()) {
      throw malformed("field '" + field + "' is not an integer");
    }
    return value.longValue();
  }

  static int integer(JsonNode parent, String field) {
    return toInt(number(parent, field));
  }

  static long number(JsonNode array, int index) {
    JsonNode value = array.get(index);
    if (value == null || !value.canConvertToLong()) {
      throw malformed("element " + index + " is not an integer");
    }
    return value.longValue();
  }

  static int integer(JsonNode array, int index) {
    return toInt(number(array, index));
  }

  static <T> ImmutableList<T> list(JsonNode parent, String field, Function<JsonNode, T> decode) {
    JsonNode values = required(parent, field);
    if (!values.isArray()) {
      throw malformed("field '" + field + "' is not an array");
    }
    return Streams.stream(values).map(decode).collect(toImmutableList());
  }

  static <T> ImmutableList<T> nameList(JsonNode parent, String field, Function<String, T> decode) {
    return list(parent, field, n -> decode.apply(n.asText()));
  }

  static <T> T element(ImmutableList<T> list, int index) {
    if (index < 0 || index >= list.size()) {
      throw malformed("index " + index + " is out of bounds for length " + list.size());
    }
    return list.get(index);
  }

  /** Decodes a value; all errors in it are reported in one exception. */
  static <T> T decode(JsonDecoder<T> decoder, JsonNode node) {
    var errors = new JsonErrors();
    Optional<T> decoded = decoder.decode(node, JsonError.ROOT, errors);
    if (errors.isEmpty()) {
      return decoded.orElseThrow(() -> malformed("the value cannot be decoded"));
    }
    String details =
        errors.list().stream()
            .map(e -> e.path() + " is " + e.value() + ", not " + e.allowed())
            .collect(Collectors.joining("; "));
    boolean isUnknown = errors.list().stream().anyMatch(JsonFields::isUnknownKind);
    throw new PlatformException(
        isUnknown ? PlatformException.Code.UNKNOWN_KIND : PlatformException.Code.MALFORMED_ROW,
        details);
  }

  /** Returns whether the error is a variant name that this version does not know. */
  private static boolean isUnknownKind(JsonError error) {
    String key = error.path().substring(error.path().lastIndexOf('.') + 1);
    return VARIANT_KEYS.contains(key) && error.value().startsWith("\"");
  }

  static PlatformException malformed(String message) {
    return new PlatformException(PlatformException.Code.MALFORMED_ROW, message);
  }

  static PlatformException unknownKind(String typeName, String kind) {
    return new PlatformException(
        PlatformException.Code.UNKNOWN_KIND, "unknown kind of " + typeName + ": '" + kind + "'");
  }

  private static int toInt(long value) {
    if (value != (int) value) {
      throw malformed("number " + value + " is out of range");
    }
    return (int) value;
  }
}
