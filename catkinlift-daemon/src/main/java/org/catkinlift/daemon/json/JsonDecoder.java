package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Reads one kind of JSON value.
 *
 * @param <T> the type that it is read into
 */
public interface JsonDecoder<T> {

  /**
   * Returns what is allowed, for errors and for the documentation.
   *
   * @return a phrase such as {@code integer from 1 to 64}
   */
  String allowed();

  /**
   * Reads a value.
   *
   * @param node the value
   * @param path where it is
   * @param errors gets an error for everything that is not allowed
   * @return the value; empty if an error was added
   */
  Optional<T> decode(JsonNode node, String path, JsonErrors errors);
}
