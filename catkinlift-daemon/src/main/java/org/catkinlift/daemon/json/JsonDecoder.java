package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Decodes and validates a JSON value.
 *
 * @param <T> the type of the decoded value
 */
public interface JsonDecoder<T> {

  /**
   * Returns a description of the valid values, for error messages and the documentation.
   *
   * @return a phrase such as {@code integer from 1 to 64}
   */
  String allowed();

  /**
   * Decodes a value.
   *
   * @param node the value
   * @param path the path of the value, for errors
   * @param errors receives an error for each invalid part of the value
   * @return the decoded value; empty if it cannot be decoded. It may be present although errors in
   *     parts of the value were added
   */
  Optional<T> decode(JsonNode node, String path, JsonErrors errors);
}
