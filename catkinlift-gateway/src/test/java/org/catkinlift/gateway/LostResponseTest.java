package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.ok;
import static org.catkinlift.gateway.ScriptedUpstream.write;

import java.io.IOException;
import java.io.OutputStream;
import org.junit.jupiter.api.Test;

/**
 * Tests that a caller is not told that its request was not executed if the response to one attempt
 * was lost, whatever the later attempts show.
 */
final class LostResponseTest {
  /** The statuses by which a daemon promises that a request was not and will not be executed. */
  private static final int[] NOT_EXECUTED_STATUSES = {408, 421, 429, 503};

  private final GatewayFixture fixture = new GatewayFixture();

  /** Writes part of the response to an executed request and closes the connection. */
  private static boolean cutResponse(String id, OutputStream out) throws IOException {
    String response = ok(id, "whole body");
    write(out, response.substring(0, response.length() - 1));
    return false;
  }

  private static String refusal(String statusLine, String id) {
    return "HTTP/1.1 "
        + statusLine
        + "\r\nX-Request-Id: "
        + id
        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private int statusOf(String path) throws IOException {
    try (GatewayFixture.Connection caller = fixture.connect()) {
      caller.send(get(path, "r1", "X-Shard-Key: 77\r\n"));
      return caller.read().status();
    }
  }

  /** The caller's status if the first attempt is executed and later ones are refused. */
  private int statusAfterLaterRefusals(String path, String statusLine) throws Exception {
    try (var upstream =
        new ScriptedUpstream(
            (n, id, out) -> n == 0 ? cutResponse(id, out) : write(out, refusal(statusLine, id)))) {
      fixture.serve(
          upstream("u-1", SHARED, upstream.address()), upstream("u-2", KEYED, upstream.address()));
      int status = statusOf(path);
      assertThat(upstream.requestHeads().size()).isAtLeast(2);
      return status;
    }
  }

  /** A caller that relies on the status would send an executed request again. */
  @Test
  void requestExecutedByFirstAttemptIsNotReportedAsNotExecutedAfterLaterMisdirection()
      throws Exception {
    int status = statusAfterLaterRefusals("/keyed/a", "421 Misdirected Request");

    assertThat(NOT_EXECUTED_STATUSES).asList().doesNotContain(status);
  }

  /** A caller that relies on the status would send an executed request again. */
  @Test
  void requestExecutedByFirstAttemptIsNotReportedAsNotExecutedAfterLaterRefusal() throws Exception {
    int status = statusAfterLaterRefusals("/keyed/a", "503 Full");

    assertThat(NOT_EXECUTED_STATUSES).asList().doesNotContain(status);
  }

  /** With one upstream only, a repeat goes to the one whose response was lost. */
  @Test
  void sharedRequestExecutedByFirstAttemptIsNotReportedAsNotExecutedAfterLaterRefusal()
      throws Exception {
    int status = statusAfterLaterRefusals("/lookup/a", "503 Full");

    assertThat(NOT_EXECUTED_STATUSES).asList().doesNotContain(status);
  }
}
