package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.write;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses of an upstream whose status code is none that HTTP defines for a response. */
final class InvalidStatusTest {
  private static final String REST =
      " X\r\nX-Request-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: 5\r\n\r\nstock";

  private final GatewayFixture fixture = new GatewayFixture();

  /** Callers would get the status as if it were the answer, or take the request for not run. */
  @ParameterizedTest
  @ValueSource(
      strings = {"000", "001", "099", "600", "999", "0", "20", "0200", "+200", "2000", "200\u0000"})
  void nonIdempotentRequestEndsWithUnknownOutcome(String status) throws Exception {
    try (var upstream = upstreamThatAnswersOnceWith(status, "")) {
      fixture.serve(
          upstream("u-1", SHARED, upstream.address()), upstream("u-2", KEYED, upstream.address()));
      try (var connection = fixture.connect()) {
        connection.send(get("/order/a", "r1", ""));
        GatewayFixture.Response response = connection.read();

        assertThat(response.status()).isEqualTo(502);
        assertThat(response.head()).doesNotContain("X-Server-Signature");
        assertThat(upstream.requestHeads()).hasSize(1);
      }
    }
  }

  /** An order that was executed would be reported as not executed, or be sent again. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "600", "0503"})
  void statusIsNoRefusalEvenIfMarkedAsNotExecuted(String status) throws Exception {
    try (var upstream = upstreamThatAnswersOnceWith(status, "\r\nX-Not-Executed: 1")) {
      fixture.serve(
          upstream("u-1", SHARED, upstream.address()), upstream("u-2", KEYED, upstream.address()));
      try (var connection = fixture.connect()) {
        connection.send(get("/order/a", "r1", ""));

        assertThat(connection.read().status()).isEqualTo(502);
        assertThat(upstream.requestHeads()).hasSize(1);
      }
    }
  }

  /** The same upstream answers properly on the next connection. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "999"})
  void idempotentRequestIsRetriedOnAnotherConnection(String status) throws Exception {
    try (var upstream = upstreamThatAnswersOnceWith(status, "")) {
      fixture.serve(
          upstream("u-1", SHARED, upstream.address()), upstream("u-2", KEYED, upstream.address()));
      try (var connection = fixture.connect()) {
        connection.send(get("/lookup/a", "r1", ""));

        assertThat(connection.read().status()).isEqualTo(200);
        assertThat(upstream.connections()).isEqualTo(2);
      }
    }
  }

  private static ScriptedUpstream upstreamThatAnswersOnceWith(String status, String extraHeader)
      throws Exception {
    return new ScriptedUpstream(
        (n, id, out) -> {
          String code = n == 0 ? status : "200";
          String header = n == 0 ? extraHeader : "";
          write(out, "HTTP/1.1 " + code + " X" + header + REST.substring(2).replace("ID", id));
          return true;
        });
  }
}
