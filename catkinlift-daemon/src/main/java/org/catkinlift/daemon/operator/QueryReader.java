package org.catkinlift.daemon.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.daemon.json.JsonError;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonObjectReader;

/** Reads query parameters as strictly as a body: unknown and duplicate parameters are errors. */
final class QueryReader {
  private QueryReader() {}

  /**
   * Reads a query.
   *
   * @param uri the URI of the request
   * @param reader reads the parameters as keys with string values
   * @param errors receives all errors in the query
   * @param <T> the type of the decoded query
   * @return the value; empty if an error was added
   */
  static <T> Optional<T> read(
      QueryStringDecoder uri, Function<JsonObjectReader, Optional<T>> reader, JsonErrors errors) {
    Map<String, List<String>> query;
    try {
      query = uri.parameters();
    } catch (IllegalArgumentException e) {
      // Thrown for incomplete percent-encoding.
      errors.add("query", uri.rawQuery(), "query with complete percent escapes");
      return Optional.empty();
    }
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    query.forEach((key, values) -> node.put(key, values.get(0)));
    JsonObjectReader object = JsonObjectReader.of(node, JsonError.ROOT, errors);
    Optional<T> value = reader.apply(object);
    object.finish();
    query.entrySet().stream()
        .filter(e -> e.getValue().size() > 1)
        .forEach(e -> errors.add(e.getKey(), e.getValue().get(1), "one value"));
    return errors.isEmpty() ? value : Optional.empty();
  }
}
