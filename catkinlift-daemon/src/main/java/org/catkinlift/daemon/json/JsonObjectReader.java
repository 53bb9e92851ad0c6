package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Reads the keys of a JSON object and reports unknown keys, which are those that were not read.
 *
 * <p>Errors never show the value of an unknown key: the key may be a misspelled one of a secret.
 */
public final class JsonObjectReader {
  private final JsonNode node;
  private final String path;
  private final JsonErrors errors;
  private final TreeSet<String> knownKeys = new TreeSet<>();

  private JsonObjectReader(JsonNode node, String path, JsonErrors errors) {
    this.node = node;
    this.path = path;
    this.errors = errors;
  }

  /**
   * Creates a reader. A value of another type is reported as an error and read as an empty object.
   *
   * @param node the value
   * @param path the path of the value
   * @param errors receives the errors
   * @return the reader
   */
  public static JsonObjectReader of(JsonNode node, String path, JsonErrors errors) {
    if (node.isObject()) {
      return new JsonObjectReader(node, path, errors);
    }
    errors.add(path, node, "object");
    // Discards the errors about missing keys that would follow from the wrong type.
    var empty = JsonNodeFactory.instance.objectNode();
    return new JsonObjectReader(empty, path, new JsonErrors());
  }

  /**
   * Reads a required key.
   *
   * @param key the key
   * @param decoder the decoder of its value
   * @param <T> the type of its value
   * @return the value; empty if an error was added
   */
  public <T> Optional<T> required(String key, JsonDecoder<T> decoder) {
    if (isAbsent(key)) {
      errors.addMissing(pathOf(key), decoder.allowed());
      return Optional.empty();
    }
    return decoder.decode(node.get(key), pathOf(key), errors);
  }

  /**
   * Reads an optional key.
   *
   * @param key the key
   * @param decoder the decoder of its value
   * @param <T> the type of its value
   * @return the value; empty if it is absent or an error was added
   */
  public <T> Optional<T> optional(String key, JsonDecoder<T> decoder) {
    if (isAbsent(key)) {
      return Optional.empty();
    }
    return decoder.decode(node.get(key), pathOf(key), errors);
  }

  /**
   * Returns a reader of a nested object. An absent object is read as an empty one.
   *
   * @param key the key of the nested object
   * @return the reader
   */
  public JsonObjectReader section(String key) {
    if (isAbsent(key)) {
      return of(JsonNodeFactory.instance.objectNode(), pathOf(key), errors);
    }
    return of(node.get(key), pathOf(key), errors);
  }

  /**
   * Returns the keys of the object.
   *
   * @return the keys, in the order of the document
   */
  public ImmutableList<String> keys() {
    return ImmutableList.copyOf(node.fieldNames());
  }

  /**
   * Accepts all keys of the object. For use if the set of valid keys is not known, for example
   * after an error in the key that selects the variant.
   */
  public void ignoreUnknownKeys() {
    knownKeys.addAll(keys());
  }

  /**
   * Returns the path of a key of this object.
   *
   * @param key the key
   * @return the path
   */
  public String pathOf(String key) {
    return path.equals(JsonError.ROOT) ? key : path + '.' + key;
  }

  /**
   * Returns the errors of the document, to which this reader adds.
   *
   * @return the errors
   */
  public JsonErrors errors() {
    return errors;
  }

  /** Adds an error for each key of the object that was not read. */
  public void finish() {
    String allowed = "one of the keys " + Joiner.on(", ").join(knownKeys);
    keys().stream()
        .filter(key -> !knownKeys.contains(key))
        .forEach(key -> errors.addHidden(pathOf(key), allowed));
  }

  private boolean isAbsent(String key) {
    knownKeys.add(key);
    return !node.has(key);
  }
}
