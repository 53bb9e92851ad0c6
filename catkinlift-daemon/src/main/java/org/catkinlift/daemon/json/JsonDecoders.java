package org.catkinlift.daemon.json;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.NetworkAddress;

/** Provides the decoders of which those of settings, operator requests and rows are composed. */
public final class JsonDecoders {
  private static final String NAME_RULE =
      "string of 1 to 64 lower-case letters, digits, dots or hyphens";
  private static final String ADDRESS_RULE =
      "string IP:PORT with an IP number and a port from 1 to 65535";

  private JsonDecoders() {}

  /**
   * Returns a decoder of non-empty strings.
   *
   * @return the decoder
   */
  public static JsonDecoder<String> text() {
    return scalar("string that is not empty", n -> textOf(n).filter(t -> !t.isEmpty()));
  }

  /**
   * Returns a decoder of booleans.
   *
   * @return the decoder
   */
  public static JsonDecoder<Boolean> bool() {
    return scalar(
        "true or false", n -> n.isBoolean() ? Optional.of(n.booleanValue()) : Optional.empty());
  }

  /**
   * Returns a decoder of 32-bit integers.
   *
   * @param min the smallest valid value
   * @param max the largest valid value
   * @return the decoder
   */
  public static JsonDecoder<Integer> integer(int min, int max) {
    return scalar(
        "integer from " + min + " to " + max, n -> longOf(n, min, max).map(Math::toIntExact));
  }

  /**
   * Returns a decoder of 64-bit integers.
   *
   * @param min the smallest valid value
   * @return the decoder
   */
  public static JsonDecoder<Long> longInteger(long min) {
    return scalar("integer from " + min, n -> longOf(n, min, Long.MAX_VALUE));
  }

  /**
   * Returns a decoder of powers of two.
   *
   * @param max the largest valid value
   * @return the decoder
   */
  public static JsonDecoder<Integer> powerOfTwo(int max) {
    return scalar(
        "power of two from 1 to " + max,
        n -> longOf(n, 1, max).map(Math::toIntExact).filter(v -> Integer.bitCount(v) == 1));
  }

  /**
   * Returns a decoder of floating-point numbers.
   *
   * @param min the smallest valid value
   * @param max the largest valid value
   * @return the decoder
   */
  public static JsonDecoder<Double> number(int min, int max) {
    return scalar(
        "number from " + min + " to " + max,
        n ->
            n.isNumber() && n.doubleValue() >= min && n.doubleValue() <= max
                ? Optional.of(n.doubleValue())
                : Optional.empty());
  }

  /**
   * Returns a decoder of durations in whole milliseconds.
   *
   * @param min the shortest valid duration
   * @param max the longest valid duration
   * @return the decoder
   */
  public static JsonDecoder<Duration> millis(Duration min, Duration max) {
    return scalar(
        "integer from " + min.toMillis() + " to " + max.toMillis() + " (ms)",
        n -> longOf(n, min.toMillis(), max.toMillis()).map(Duration::ofMillis));
  }

  /**
   * Returns a decoder of strings from a fixed set.
   *
   * @param choices the decoded value of each string
   * @param <T> the type of the decoded values
   * @return the decoder
   */
  public static <T> JsonDecoder<T> choice(ImmutableMap<String, T> choices) {
    String allowed = '"' + Joiner.on("\", \"").join(choices.keySet()) + '"';
    return scalar(allowed, n -> textOf(n).map(choices::get));
  }

  /**
   * Returns a decoder of a name type of the model.
   *
   * @param factory creates the name; throws {@link ModelException} if the text is malformed
   * @param <T> the type of the name
   * @return the decoder
   */
  public static <T> JsonDecoder<T> name(Function<String, T> factory) {
    return scalar(NAME_RULE, n -> textOf(n).flatMap(t -> tryCreate(t, factory)));
  }

  /**
   * Returns a decoder that parses a string.
   *
   * @param allowed a description of the valid strings
   * @param parser parses the string; returns empty if it is invalid
   * @param <T> the type of the parsed value
   * @return the decoder
   */
  public static <T> JsonDecoder<T> parsed(String allowed, Function<String, Optional<T>> parser) {
    return scalar(allowed, n -> textOf(n).flatMap(parser));
  }

  /**
   * Returns a decoder of an IP address and port in the form {@code IP:PORT} or {@code [IP]:PORT}.
   *
   * @return the decoder
   */
  public static JsonDecoder<NetworkAddress> address() {
    return scalar(ADDRESS_RULE, n -> textOf(n).flatMap(JsonDecoders::parseAddress));
  }

  /**
   * Returns a decoder of arrays. Invalid elements are reported and left out of the result.
   *
   * @param elementDecoder the decoder of the elements
   * @param allowed a description of the array
   * @param <T> the type of the elements
   * @return the decoder
   */
  public static <T> JsonDecoder<ImmutableList<T>> list(
      JsonDecoder<T> elementDecoder, String allowed) {
    return new JsonDecoder<>() {
      @Override
      public String allowed() {
        return allowed;
      }

      @Override
      public Optional<ImmutableList<T>> decode(JsonNode node, String path, JsonErrors errors) {
        if (!node.isArray()) {
          errors.add(path, node, allowed);
          return Optional.empty();
        }
        List<Optional<T>> values = new ArrayList<>();
        for (JsonNode item : node) {
          values.add(elementDecoder.decode(item, path + '[' + values.size() + ']', errors));
        }
        return Optional.of(values.stream().flatMap(Optional::stream).collect(toImmutableList()));
      }
    };
  }

  /**
   * Returns a decoder of objects with arbitrary keys.
   *
   * @param valueDecoder the decoder of the values
   * @param <T> the type of the values
   * @return the decoder
   */
  public static <T> JsonDecoder<ImmutableMap<String, T>> map(JsonDecoder<T> valueDecoder) {
    return object(
        reader -> {
          var entries = ImmutableMap.<String, T>builder();
          for (String key : reader.keys()) {
            reader.required(key, valueDecoder).ifPresent(v -> entries.put(key, v));
          }
          return Optional.of(entries.buildOrThrow());
        });
  }

  /**
   * Returns a decoder of objects. Keys that the given function does not read are errors.
   *
   * @param reader reads the keys of the object; returns empty if it added an error
   * @param <T> the type of the decoded object
   * @return the decoder
   */
  public static <T> JsonDecoder<T> object(Function<JsonObjectReader, Optional<T>> reader) {
    return new JsonDecoder<>() {
      @Override
      public String allowed() {
        return "object";
      }

      @Override
      public Optional<T> decode(JsonNode node, String path, JsonErrors errors) {
        var object = JsonObjectReader.of(node, path, errors);
        Optional<T> value = reader.apply(object);
        object.finish();
        return value;
      }
    };
  }

  /**
   * Parses {@code IP:PORT}.
   *
   * @param text the text
   * @return the address; empty if the text is invalid
   */
  public static Optional<NetworkAddress> parseAddress(String text) {
    try {
      HostAndPort parts = HostAndPort.fromString(text);
      if (!parts.hasPort() || !InetAddresses.isInetAddress(parts.getHost())) {
        return Optional.empty();
      }
      return Optional.of(NetworkAddress.of(parts.getHost(), parts.getPort()));
    } catch (IllegalArgumentException | ModelException e) {
      return Optional.empty();
    }
  }

  /**
   * Formats an address for {@link #parseAddress}, with brackets around IPv6 addresses.
   *
   * @param address the address
   * @return the text
   */
  public static String formatAddress(NetworkAddress address) {
    return HostAndPort.fromParts(address.ip(), address.port()).toString();
  }

  private static <T> JsonDecoder<T> scalar(
      String allowed, Function<JsonNode, Optional<T>> convert) {
    return new JsonDecoder<>() {
      @Override
      public String allowed() {
        return allowed;
      }

      @Override
      public Optional<T> decode(JsonNode node, String path, JsonErrors errors) {
        Optional<T> value = convert.apply(node);
        if (value.isEmpty()) {
          errors.add(path, node, allowed);
        }
        return value;
      }
    };
  }

  private static Optional<String> textOf(JsonNode node) {
    return Optional.ofNullable(node.textValue());
  }

  private static Optional<Long> longOf(JsonNode node, long min, long max) {
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      return Optional.empty();
    }
    return Optional.of(node.longValue()).filter(v -> v >= min && v <= max);
  }

  private static <T> Optional<T> tryCreate(String text, Function<String, T> factory) {
    try {
      return Optional.of(factory.apply(text));
    } catch (ModelException e) {
      return Optional.empty();
    }
  }
}
