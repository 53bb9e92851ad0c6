package org.catkinlift.gateway.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Parses JSON texts into trees, like {@code ObjectMapper.readTree}. Creating an {@code
 * ObjectMapper} initializes date formats, locales and serializers, which takes a fifth of the CPU
 * time of a start.
 */
public final class JsonTrees {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTrees() {}

  /**
   * Parses the first value of a text.
   *
   * @param json the text
   * @return the value; a {@link MissingNode} if there is none
   * @throws JsonProcessingException if the text is not valid JSON, or is nested too deeply
   */
  public static JsonNode parse(String json) throws JsonProcessingException {
    try (JsonParser parser = FACTORY.createParser(json)) {
      return parser.nextToken() == null ? MissingNode.getInstance() : readValue(parser);
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      throw new UncheckedIOException("reading a string failed", e);
    }
  }

  /** Reads without recursion, since the event loops have small stacks. */
  private static JsonNode readValue(JsonParser parser) throws IOException {
    Deque<ContainerNode<?>> open = new ArrayDeque<>();
    while (true) {
      JsonToken token = parser.currentToken();
      JsonNode ended;
      if (token == JsonToken.FIELD_NAME) {
        parser.nextToken();
        continue;
      } else if (token.isStructEnd()) {
        ended = open.pop();
      } else {
        ended = toNode(parser, token);
        addTo(open.peek(), parser, ended);
        if (ended instanceof ContainerNode<?> container) {
          open.push(container);
        }
      }
      if (open.isEmpty()) {
        return ended;
      }
      parser.nextToken();
    }
  }

  private static void addTo(ContainerNode<?> container, JsonParser parser, JsonNode value)
      throws IOException {
    if (container instanceof ObjectNode object) {
      object.replace(parser.currentName(), value);
    } else if (container instanceof ArrayNode array) {
      array.add(value);
    }
  }

  private static JsonNode toNode(JsonParser parser, JsonToken token) throws IOException {
    return switch (token) {
      case START_OBJECT -> NODES.objectNode();
      case START_ARRAY -> NODES.arrayNode();
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_NUMBER_INT ->
          switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
          };
      default -> throw new IllegalStateException("unexpected token " + token);
    };
  }
}
