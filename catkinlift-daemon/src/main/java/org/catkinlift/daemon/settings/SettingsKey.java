package org.catkinlift.daemon.settings;

import com.google.common.base.Splitter;
import com.google.common.collect.Iterables;
import java.util.Optional;
import org.catkinlift.daemon.json.JsonDecoder;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.StrictJson;

/**
 * Declares one key of the settings document.
 *
 * @param path the path of the key, such as {@code limits.queueFactor}
 * @param unit the unit of its value, for the documentation
 * @param defaultText the default in the documentation; JSON if the key has a fixed default
 * @param decoder the decoder of its value
 * @param <T> the type of its value
 */
public record SettingsKey<T>(String path, String unit, String defaultText, JsonDecoder<T> decoder) {

  /**
   * Returns the fixed default.
   *
   * @return the default
   * @throws IllegalStateException if the declared default is not a valid JSON value of the key
   */
  public T defaultValue() {
    var errors = new JsonErrors();
    return StrictJson.parse(defaultText, errors)
        .flatMap(node -> decoder.decode(node, path, errors))
        .orElseThrow(() -> new IllegalStateException(path + " has no fixed default"));
  }

  /**
   * Reads the key as a required one.
   *
   * @param object the object that contains the key
   * @return the value; empty if an error was added
   */
  Optional<T> required(JsonObjectReader object) {
    return object.required(key(), decoder);
  }

  /**
   * Reads the key as an optional one.
   *
   * @param object the object that contains the key
   * @return the value; empty if it is absent or an error was added
   */
  Optional<T> optional(JsonObjectReader object) {
    return object.optional(key(), decoder);
  }

  /**
   * Reads the key with its fixed default.
   *
   * @param object the object that contains the key
   * @return the value; the default if it is absent or an error was added
   */
  T orDefault(JsonObjectReader object) {
    return optional(object).orElseGet(this::defaultValue);
  }

  /**
   * Returns the name of the key in its object, which is the last part of the path.
   *
   * @return the name
   */
  String key() {
    return Iterables.getLast(Splitter.on('.').split(path));
  }
}
