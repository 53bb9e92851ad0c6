package org.catkinlift.gateway;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.ok;
import static org.catkinlift.gateway.ScriptedUpstream.write;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.google.common.collect.ImmutableList;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.catkinlift.gateway.GatewayFixture.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests responses of an upstream in which the name of a field is no token. */
final class InvalidFieldNameTest {
  private static final String STATUS = "HTTP/1.1 200 OK\r\n";
  private static final String FIELDS = "X-Request-Id: ID\r\nX-Server-Signature: s\r\n";
  private static final String LENGTH = "Content-Length: 5\r\n";
  private static final String BODY = "\r\nstock";
  private static final String REST = FIELDS + LENGTH + BODY;
  private static final String CHUNKED =
      STATUS + FIELDS + "Transfer-Encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n";

  /** Lines that are no field, with a blank or a control byte in each place of a name. */
  private static final ImmutableList<String> INVALID_LINES =
      ImmutableList.of(
          "X-A : x\r\n",
          "X-A\t: x\r\n",
          "X A: x\r\n",
          "X\tA: x\r\n",
          "X-A \t : x\r\n",
          "X-A \r\n",
          "X-A\r\n",
          ": x\r\n",
          "X\u0000A: x\r\n",
          "X\u0001A: x\r\n",
          "X\u000bA: x\r\n",
          "X\u001fA: x\r\n",
          "X\u007fA: x\r\n",
          "X\u0080A: x\r\n",
          "X\u00a0A: x\r\n",
          "X\rA: x\r\n",
          "\u000bX-A: x\r\n",
          "X-A\u0000: x\r\n",
          "X(A: x\r\n",
          "Content-Length : 2\r\n",
          "Content-Length\t: 2\r\n",
          "Transfer-Encoding : chunked\r\n",
          "Transfer-Encoding\u0000: chunked\r\n",
          "Connection : X-Server-Signature\r\n");

  /** Lines that begin with a blank, which are no field unless they continue one. */
  private static final ImmutableList<String> FIRST_LINES =
      ImmutableList.of(" X-A: x\r\n", "\tX-A: x\r\n", " \r\n", " : x\r\n");

  private static final ImmutableList<String> UNUSUAL_FIELDS =
      ImmutableList.of(
          "!#$%&'*+-.^_`|~09aZ: x\r\n",
          "X-A:\r\n",
          "X-A: \r\n",
          "X-A:x\r\n",
          "X-A:\t x y\tz \t\r\n",
          "X-A: x : y\r\n",
          "X-A: x\r\n y\r\n",
          "X-A: x\r\n\ty\r\n");

  private final GatewayFixture fixture = new GatewayFixture();

  private static Arguments form(
      String name, ImmutableList<String> lines, UnaryOperator<String> response) {
    return arguments(name, responses(lines, response));
  }

  private static ImmutableList<String> responses(
      ImmutableList<String> lines, UnaryOperator<String> response) {
    return lines.stream().map(response).collect(toImmutableList());
  }

  private static Stream<Arguments> invalidResponses() {
    return Stream.of(
        form("first field", INVALID_LINES, l -> STATUS + l + REST),
        form("blank before the first field", FIRST_LINES, l -> STATUS + l + REST),
        form("field between others", INVALID_LINES, l -> STATUS + FIELDS + l + LENGTH + BODY),
        form("last field", INVALID_LINES, l -> STATUS + FIELDS + LENGTH + l + BODY),
        form("no length", INVALID_LINES, l -> STATUS + FIELDS + l + "\r\n"),
        form(
            "refusal", INVALID_LINES, l -> "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + l + REST),
        form(
            "informational response",
            INVALID_LINES,
            l -> "HTTP/1.1 103 Hints\r\n" + l + "\r\n" + STATUS + REST),
        form("trailer", INVALID_LINES, l -> CHUNKED + l + "\r\n"));
  }

  /** Callers would get the line without its blank, a body of another length, or a refusal. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("invalidResponses")
  void nonIdempotentRequestEndsWithUnknownOutcome(String form, ImmutableList<String> responses)
      throws Exception {
    try (var upstream = serve(responses);
        var caller = fixture.connect()) {
      for (int i = 0; i < responses.size(); i++) {
        caller.send(get("/order/a", id(i), ""));
        Response response = caller.read();

        String sent = responses.get(i);
        assertWithMessage(sent).that(response.status()).isEqualTo(502);
        assertWithMessage(sent).that(response.head()).doesNotContain("X-Server-Signature");
        assertThat(upstream.requestHeads()).hasSize(2 * i + 1);
        fixture.awaitLogged("reason=\"malformed answer\" request=" + id(i));

        caller.send(get("/order/a", "sound", ""));
        assertWithMessage("after %s", sent).that(caller.read().body()).isEqualTo("whole");
      }
    }
  }

  /** The upstream answers properly on the next connection. */
  @Test
  void idempotentRequestIsRetriedOnAnotherConnection() throws Exception {
    // The retry budget of a daemon that has served nothing allows few retries.
    ImmutableList<String> lines = ImmutableList.of("X-A : x\r\n", "X A: x\r\n", "X\0A: x\r\n");
    ImmutableList<String> responses = responses(lines, l -> STATUS + l + REST);
    try (var upstream = serve(responses);
        var caller = fixture.connect()) {
      for (int i = 0; i < responses.size(); i++) {
        caller.send(get("/lookup/a", id(i), ""));

        assertWithMessage(responses.get(i)).that(caller.read().body()).isEqualTo("whole");
        assertThat(upstream.requestHeads()).hasSize(2 * (i + 1));
      }
      assertThat(upstream.connections()).isEqualTo(responses.size() + 1);
    }
  }

  /** A name may hold any character of a token, and a value may be empty, folded or hold blanks. */
  @Test
  void unusualFieldIsPassedOn() throws Exception {
    try (var upstream = serve(responses(UNUSUAL_FIELDS, f -> STATUS + f + REST));
        var caller = fixture.connect()) {
      for (int i = 0; i < UNUSUAL_FIELDS.size(); i++) {
        String field = UNUSUAL_FIELDS.get(i);
        caller.send(get("/order/a", id(i), ""));
        Response response = caller.read();

        assertWithMessage(field).that(response.status()).isEqualTo(200);
        assertWithMessage(field).that(response.body()).isEqualTo("stock");
        String name = field.substring(0, field.indexOf(':') + 1);
        assertWithMessage(field).that(response.head()).contains("\r\n" + name);
      }
      assertThat(upstream.connections()).isEqualTo(1);
    }
  }

  private static String id(int index) {
    return "r" + index;
  }

  /**
   * Serves an upstream that answers the first request with each id by the response of its number.
   */
  private ScriptedUpstream serve(ImmutableList<String> responses) throws Exception {
    Set<String> answered = ConcurrentHashMap.newKeySet();
    var upstream =
        new ScriptedUpstream(
            (n, id, out) ->
                write(
                    out,
                    id.startsWith("r") && answered.add(id)
                        ? responses.get(Integer.parseInt(id.substring(1))).replace("ID", id)
                        : ok(id, "whole")));
    fixture.serve(
        upstream("u-1", SHARED, upstream.address()), upstream("u-2", KEYED, upstream.address()));
    return upstream;
  }
}
