package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.ok;
import static org.catkinlift.gateway.ScriptedUpstream.write;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import org.catkinlift.upstreams.UpstreamRecord;
import org.junit.jupiter.api.Test;

/**
 * Tests that a caller is not told that its request was not executed if the response to one attempt
 * was lost, whatever the later attempts show.
 */
final class LostResponseTest {
  /** Statuses that leave open whether the request was executed. */
  private static final ImmutableList<Integer> UNKNOWN_OUTCOME_STATUSES = ImmutableList.of(502, 504);

  /** Longer than the time for which a leaving upstream gets requests, as in the settings. */
  private static final Duration AFTER_DRAIN = Duration.ofMillis(2_200);

  /** The time in which a daemon learns of a change of the upstreams. */
  private static final Duration UPDATE_TIME = Duration.ofMillis(300);

  private final GatewayFixture fixture = new GatewayFixture();
  private volatile ImmutableList<UpstreamRecord> upstreams = ImmutableList.of();

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

    assertThat(status).isIn(UNKNOWN_OUTCOME_STATUSES);
  }

  /** A caller that relies on the status would send an executed request again. */
  @Test
  void requestExecutedByFirstAttemptIsNotReportedAsNotExecutedAfterLaterRefusal() throws Exception {
    int status = statusAfterLaterRefusals("/keyed/a", "503 Full");

    assertThat(status).isIn(UNKNOWN_OUTCOME_STATUSES);
  }

  /** With one upstream only, a repeat goes to the one whose response was lost. */
  @Test
  void sharedRequestExecutedByFirstAttemptIsNotReportedAsNotExecutedAfterLaterRefusal()
      throws Exception {
    int status = statusAfterLaterRefusals("/lookup/a", "503 Full");

    assertThat(status).isIn(UNKNOWN_OUTCOME_STATUSES);
  }

  private void leaveAll() {
    fixture
        .store()
        .setUpstreams(
            upstreams.stream().map(GatewayFixture::draining).toArray(UpstreamRecord[]::new));
  }

  /** The caller's status if the upstream leaves while the first attempt is executed. */
  private int statusAfterUpstreamLeft(String path, Duration executionTime) throws Exception {
    try (var upstream =
        new ScriptedUpstream(
            (n, id, out) -> {
              leaveAll();
              sleep(executionTime);
              return cutResponse(id, out);
            })) {
      upstreams =
          ImmutableList.of(
              upstream("u-1", SHARED, upstream.address()),
              upstream("u-2", KEYED, upstream.address()));
      fixture.serve(upstreams.toArray(UpstreamRecord[]::new));
      int status = statusOf(path);
      assertThat(upstream.requestHeads()).hasSize(1);
      return status;
    }
  }

  private static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** No upstream is left for a second attempt, which says nothing about the first one. */
  @Test
  void requestExecutedByUpstreamThatLeavesIsNotReportedAsNotExecuted() throws Exception {
    int status = statusAfterUpstreamLeft("/lookup/a", UPDATE_TIME);

    assertThat(status).isIn(UNKNOWN_OUTCOME_STATUSES);
  }

  /** The keys have no owner for a second attempt, which says nothing about the first one. */
  @Test
  void requestExecutedByFormerHolderOfItsKeyIsNotReportedAsNotExecuted() throws Exception {
    int status = statusAfterUpstreamLeft("/keyed/a", AFTER_DRAIN);

    assertThat(status).isIn(UNKNOWN_OUTCOME_STATUSES);
  }
}
