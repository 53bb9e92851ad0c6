package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Reads the keys of one JSON object and reports those that nobody asked for.
 *
 * <p>The value of an unknown key is never shown, because it may be a secret under a misspelt key.
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
   * Starts to read an object; a value of another type is reported and read as an empty object.
   *
   * @param node the value
   * @param path where it is
   * @param errors gets the errors
   * @return the reader
   */
  public static JsonObjectReader of(JsonNode node, String path, JsonErrors errors) {
    if (node.isObject()) {
      return new JsonObjectReader(node, path, errors);
    }
    errors.add(path, node, "object");
    // Errors about the keys of an object that is not there are dropped.
    var empty = JsonNodeFactory.instance.objectNode();
    return new JsonObjectReader(empty, path, new JsonErrors());
  }

  /**
   * Reads a key that must be there.
   *
   * @param key the key
   * @param decoder the kind of its value
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
   * Reads a key that may be absent.
   *
   * @param key the key
   * @param decoder the kind of its value
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
   * Starts to read an object that may be absent, which is read as an empty object.
   *
   * @param key the key of the object
   * @return the reader of the object
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

  /** Accepts all keys, because an error about one of them leaves open which others are allowed. */
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
   * Returns the collection that errors are added to.
   *
   * @return the errors
   */
  public JsonErrors errors() {
    return errors;
  }

  /** Reports each key of the object that was not read. */
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
