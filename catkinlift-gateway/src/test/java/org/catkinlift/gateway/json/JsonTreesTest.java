package org.catkinlift.gateway.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against JSON that is read differently than by the library's own tree reader. */
final class JsonTreesTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int DEEP = 100_000;

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "  ",
        "null",
        "7 8",
        "\"text\"",
        "[]",
        "{}",
        "[[],[{}],{\"a\":[]}]",
        "{\"a\":{\"b\":[1,2147483648,12345678901234567890123,-0,1.5,1e400,true,false,null]}}",
        "{\"a\":1,\"a\":{\"b\":2},\"c\":\"\\u00e4\\n\"}",
        "{} trailing"
      })
  void readsTheSameTree(String json) throws Exception {
    assertThat(JsonTrees.parse(json)).isEqualTo(MAPPER.readTree(json));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{", "[1,", "{\"a\"}", "{\"a\":}", "]", "}", "nul", "01", "{\"a\":1]"})
  void refusesTheSameTexts(String json) {
    assertThrows(JsonProcessingException.class, () -> MAPPER.readTree(json));
    assertThrows(JsonProcessingException.class, () -> JsonTrees.parse(json));
  }

  /** Guards against a process that ends because a text exhausts the stack. */
  @Test
  void refusesDeepNesting() {
    assertThrows(JsonProcessingException.class, () -> JsonTrees.parse("[".repeat(DEEP)));
  }
}
