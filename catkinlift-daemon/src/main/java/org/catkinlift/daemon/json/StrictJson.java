package org.catkinlift.daemon.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Parses and prints JSON text; rejects duplicate keys and trailing tokens. */
public final class StrictJson {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private StrictJson() {}

  /**
   * Parses a document.
   *
   * <p>The error contains the position only: the message of the parser quotes the text, which may
   * contain a secret.
   *
   * @param text the document
   * @param errors receives an error if the text is not valid JSON
   * @return the document; empty if an error was added
   */
  public static Optional<JsonNode> parse(String text, JsonErrors errors) {
    try {
      JsonNode node = MAPPER.readTree(text);
      if (node.isMissingNode()) {
        errors.addMissing(JsonError.ROOT, "JSON document");
        return Optional.empty();
      }
      return Optional.of(node);
    } catch (JsonProcessingException e) {
      var location = e.getLocation();
      String position =
          location == null
              ? ""
              : " (line " + location.getLineNr() + ", column " + location.getColumnNr() + ")";
      errors.addHidden(JsonError.ROOT, "JSON without repeated keys" + position);
      return Optional.empty();
    }
  }

  /**
   * Formats a document on one line.
   *
   * @param node the document
   * @return the text
   */
  public static String print(JsonNode node) {
    return node.toString();
  }

  /**
   * Formats a document with line breaks and indentation.
   *
   * @param node the document
   * @return the text
   */
  public static String printIndented(JsonNode node) {
    return node.toPrettyString();
  }
}
