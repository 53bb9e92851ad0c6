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

/** Provides the kinds of values that settings and operator requests are made of. */
public final class JsonDecoders {
  private static final String NAME_RULE =
      "string of 1 to 64 lower-case letters, digits, dots or hyphens";
  private static final String ADDRESS_RULE =
      "string IP:PORT with an IP number and a port from 1 to 65535";

  private JsonDecoders() {}

  /**
   * Reads a string that is not empty.
   *
   * @return the kind of value
   */
  public static JsonDecoder<String> text() {
    return scalar("string that is not empty", n -> textOf(n).filter(t -> !t.isEmpty()));
  }

  /**
   * Reads true or false.
   *
   * @return the kind of value
   */
  public static JsonDecoder<Boolean> bool() {
    return scalar(
        "true or false", n -> n.isBoolean() ? Optional.of(n.booleanValue()) : Optional.empty());
  }

  /**
   * Reads an integer.
   *
   * @param min the smallest allowed
   * @param max the largest allowed
   * @return the kind of value
   */
  public static JsonDecoder<Integer> integer(int min, int max) {
    return scalar(
        "integer from " + min + " to " + max, n -> longOf(n, min, max).map(Math::toIntExact));
  }

  /**
   * Reads an integer of 64 bits.
   *
   * @param min the smallest allowed
   * @return the kind of value
   */
  public static JsonDecoder<Long> longInteger(long min) {
    return scalar("integer from " + min, n -> longOf(n, min, Long.MAX_VALUE));
  }

  /**
   * Reads a power of two.
   *
   * @param max the largest allowed
   * @return the kind of value
   */
  public static JsonDecoder<Integer> powerOfTwo(int max) {
    return scalar(
        "power of two from 1 to " + max,
        n -> longOf(n, 1, max).map(Math::toIntExact).filter(v -> Integer.bitCount(v) == 1));
  }

  /**
   * Reads a number that may have a fraction.
   *
   * @param min the smallest allowed
   * @param max the largest allowed
   * @return the kind of value
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
   * Reads a duration, written as a number of milliseconds.
   *
   * @param min the shortest allowed
   * @param max the longest allowed
   * @return the kind of value
   */
  public static JsonDecoder<Duration> millis(Duration min, Duration max) {
    return scalar(
        "integer from " + min.toMillis() + " to " + max.toMillis() + " (ms)",
        n -> longOf(n, min.toMillis(), max.toMillis()).map(Duration::ofMillis));
  }

  /**
   * Reads one of several words.
   *
   * @param choices the value of each word
   * @param <T> the type of the values
   * @return the kind of value
   */
  public static <T> JsonDecoder<T> choice(ImmutableMap<String, T> choices) {
    String allowed = '"' + Joiner.on("\", \"").join(choices.keySet()) + '"';
    return scalar(allowed, n -> textOf(n).map(choices::get));
  }

  /**
   * Reads a name of the model.
   *
   * @param factory makes the name; throws {@link ModelException} if it is malformed
   * @param <T> the type of the name
   * @return the kind of value
   */
  public static <T> JsonDecoder<T> name(Function<String, T> factory) {
    return scalar(NAME_RULE, n -> textOf(n).flatMap(t -> tryCreate(t, factory)));
  }

  /**
   * Reads a string that a function parses.
   *
   * @param allowed what is allowed
   * @param parser returns empty for other strings
   * @param <T> the type that it is parsed into
   * @return the kind of value
   */
  public static <T> JsonDecoder<T> parsed(String allowed, Function<String, Optional<T>> parser) {
    return scalar(allowed, n -> textOf(n).flatMap(parser));
  }

  /**
   * Reads an IP number and port, written as {@code IP:PORT} or {@code [IP]:PORT}.
   *
   * @return the kind of value
   */
  public static JsonDecoder<NetworkAddress> address() {
    return scalar(ADDRESS_RULE, n -> textOf(n).flatMap(JsonDecoders::parseAddress));
  }

  /**
   * Reads an array.
   *
   * @param elementDecoder the kind of its elements
   * @param allowed what the array as a whole may be
   * @param <T> the type of its elements
   * @return the kind of value
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
   * Reads an object whose keys are data.
   *
   * @param valueDecoder the kind of the values
   * @param <T> the type of the values
   * @return the kind of value
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
   * Reads an object.
   *
   * @param reader reads the keys of the object; empty if it added an error
   * @param <T> the type that the object is read into
   * @return the kind of value
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
   * @return the address; empty if it is none
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
   * Formats an address so that {@link #parseAddress} reads it, with brackets for IPv6.
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
