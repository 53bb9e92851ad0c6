package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.NetworkAddress;

/** Implements all differences between the JSON formats, so that the codecs are format-neutral. */
final class FormatRules {
  private static final Duration MAX_MILLIS = Duration.ofMillis(Long.MAX_VALUE);
  private static final JsonDecoder<Integer> ANY_INTEGER =
      JsonDecoders.integer(Integer.MIN_VALUE, Integer.MAX_VALUE);
  private static final JsonDecoder<Epoch> EPOCH_TEXT =
      JsonDecoders.parsed("string TERM.COUNTER", FormatRules::parseEpoch);
  private static final JsonDecoder<ImmutableList<Long>> EPOCH_ARRAY =
      JsonDecoders.list(JsonDecoders.longInteger(0), "array of term and counter");

  private final JsonFormat format;

  FormatRules(JsonFormat format) {
    this.format = format;
  }

  /** Returns the key of the variant name of a service kind, cut-off rule or grant check. */
  String variantKey() {
    return select("type", "kind");
  }

  /** Returns the key of the variant name of an intent. */
  String intentKey() {
    return select("intent", "kind");
  }

  /** Returns the key of the definition in an intent to put a service. */
  String definitionKey() {
    return select("service", "definition");
  }

  /** Returns the key of the expected duration of a plan. */
  String durationKey() {
    return select("expectedDurationMs", "expectedMillis");
  }

  /** Returns the key of a duration in milliseconds: the name with the suffix of the format. */
  String millisKey(String name) {
    return name + select("Ms", "Millis");
  }

  private String select(String api, String row) {
    return switch (format) {
      case JsonFormat.Api a -> api;
      case JsonFormat.Row r -> row;
    };
  }

  /** Creates an object; in rows it has a {@code kind} field. */
  ObjectNode object(String kind) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    return switch (format) {
      case JsonFormat.Api a -> node;
      case JsonFormat.Row r -> node.put("kind", kind);
    };
  }

  /** Accepts unknown keys in rows, where a later version may have added them. */
  void allowUnknownKeys(JsonObjectReader object) {
    switch (format) {
      case JsonFormat.Api a -> {}
      case JsonFormat.Row r -> object.ignoreUnknownKeys();
    }
  }

  /** Reads a key that is optional in the API and required in rows. */
  <T> Optional<T> optionalInApi(JsonObjectReader object, String key, JsonDecoder<T> decoder) {
    return switch (format) {
      case JsonFormat.Api a -> object.optional(key, decoder);
      case JsonFormat.Row r -> object.required(key, decoder);
    };
  }

  /** Returns a decoder that checks the range in the API only; rows are validated on write. */
  JsonDecoder<Integer> integer(int min, int max) {
    return switch (format) {
      case JsonFormat.Api a -> JsonDecoders.integer(min, max);
      case JsonFormat.Row r -> ANY_INTEGER;
    };
  }

  JsonDecoder<Integer> powerOfTwo(int max) {
    return switch (format) {
      case JsonFormat.Api a -> JsonDecoders.powerOfTwo(max);
      case JsonFormat.Row r -> ANY_INTEGER;
    };
  }

  JsonDecoder<Duration> millis(Duration min, Duration max) {
    return switch (format) {
      case JsonFormat.Api a -> JsonDecoders.millis(min, max);
      case JsonFormat.Row r -> JsonDecoders.millis(Duration.ZERO, MAX_MILLIS);
    };
  }

  JsonNode encode(Epoch epoch) {
    return switch (format) {
      case JsonFormat.Api a -> TextNode.valueOf(epoch.toString());
      case JsonFormat.Row r ->
          JsonNodeFactory.instance.arrayNode().add(epoch.term()).add(epoch.counter());
    };
  }

  JsonDecoder<Epoch> epoch() {
    return switch (format) {
      case JsonFormat.Api a -> EPOCH_TEXT;
      case JsonFormat.Row r -> epochArray();
    };
  }

  private static JsonDecoder<Epoch> epochArray() {
    return new JsonDecoder<>() {
      @Override
      public String allowed() {
        return EPOCH_ARRAY.allowed();
      }

      @Override
      public Optional<Epoch> decode(JsonNode node, String path, JsonErrors errors) {
        Optional<ImmutableList<Long>> numbers = EPOCH_ARRAY.decode(node, path, errors);
        if (numbers.isEmpty() || numbers.get().size() != 2) {
          errors.add(path, node, allowed());
          return Optional.empty();
        }
        return Optional.of(Epoch.of(numbers.get().get(0), numbers.get().get(1)));
      }
    };
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

  void putAddress(ObjectNode node, NetworkAddress address) {
    switch (format) {
      case JsonFormat.Api a -> node.put("address", JsonDecoders.formatAddress(address));
      case JsonFormat.Row r -> node.put("ip", address.ip()).put("port", address.port());
    }
  }

  Optional<NetworkAddress> address(JsonObjectReader object) {
    return switch (format) {
      case JsonFormat.Api a -> object.required("address", JsonDecoders.address());
      case JsonFormat.Row r -> {
        Optional<String> ip = object.required("ip", JsonDecoders.text());
        Optional<Integer> port = object.required("port", ANY_INTEGER);
        yield ip.flatMap(i -> port.map(p -> NetworkAddress.of(i, p)));
      }
    };
  }

  /** Returns whether the document comes from an operator and needs full validation. */
  boolean isOperatorInput() {
    return switch (format) {
      case JsonFormat.Api a -> true;
      case JsonFormat.Row r -> false;
    };
  }
}
