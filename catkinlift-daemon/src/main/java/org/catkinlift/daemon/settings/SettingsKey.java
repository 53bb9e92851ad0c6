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
 * @param path where it is, for example {@code limits.queueFactor}
 * @param unit the unit of its value
 * @param defaultText the default as the documentation states it; JSON if the key has a fixed
 *     default
 * @param decoder the kind of its value
 * @param <T> the type of its value
 */
public record SettingsKey<T>(String path, String unit, String defaultText, JsonDecoder<T> decoder) {

  /**
   * Returns the fixed default.
   *
   * @return the default
   * @throws IllegalStateException if the key is declared with a default that is not allowed
   */
  public T defaultValue() {
    var errors = new JsonErrors();
    return StrictJson.parse(defaultText, errors)
        .flatMap(node -> decoder.decode(node, path, errors))
        .orElseThrow(() -> new IllegalStateException(path + " has no fixed default"));
  }

  /**
   * Reads the key, which must be there.
   *
   * @param object the object that holds the key
   * @return the value; empty if an error was added
   */
  Optional<T> required(JsonObjectReader object) {
    return object.required(key(), decoder);
  }

  /**
   * Reads the key, which may be absent.
   *
   * @param object the object that holds the key
   * @return the value; empty if it is absent or an error was added
   */
  Optional<T> optional(JsonObjectReader object) {
    return object.optional(key(), decoder);
  }

  /**
   * Reads the key or takes its fixed default.
   *
   * @param object the object that holds the key
   * @return the value; the default if it is absent or an error was added
   */
  T orDefault(JsonObjectReader object) {
    return optional(object).orElseGet(this::defaultValue);
  }

  /**
   * Returns the last part of the path.
   *
   * @return the key in its object
   */
  String key() {
    return Iterables.getLast(Splitter.on('.').split(path));
  }
}
