package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.draining;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.ok;
import static org.catkinlift.gateway.ScriptedUpstream.write;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.catkinlift.gateway.store.StoreUpdate;
import org.catkinlift.upstreams.UpstreamRecord;
import org.junit.jupiter.api.Test;

/** Tests that a leaving upstream gets no requests late, however they came to wait for it. */
final class LeavingUpstreamTest {
  private static final long AWAIT_SECONDS = 20;

  /** The time after which a leaving upstream must not receive requests, as in the settings. */
  private static final Duration DRAIN = Duration.ofSeconds(2);

  /** Long enough for entries of running upstreams to expire. */
  private static final Duration OUTAGE = Duration.ofSeconds(2);

  /** The number of requests that a daemon sends to an upstream before it has had a response. */
  private static final int INITIAL_LIMIT = 2;

  private final GatewayFixture fixture = new GatewayFixture();

  private static boolean awaitAndAnswer(CountDownLatch latch) {
    try {
      return latch.await(AWAIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private int statusOf(String path) throws IOException {
    try (GatewayFixture.Connection caller = fixture.connect()) {
      caller.send(get(path, "r" + System.nanoTime(), "X-Shard-Key: 77\r\n"));
      return caller.read().status();
    }
  }

  /** Upstreams whose entries expired in an outage would get no requests until they are back. */
  @Test
  void missingUpstreamsAreServedInTheGracePeriodAfterAnOutage() throws Exception {
    try (var upstream = new ScriptedUpstream((n, id, out) -> write(out, ok(id, "whole")))) {
      fixture.serve(
          upstream("u-1", SHARED, upstream.address()), upstream("u-2", KEYED, upstream.address()));
      fixture.store().emit(new StoreUpdate.CallAnswered());
      fixture.store().emit(new StoreUpdate.CallFailed("refused"));
      fixture.awaitLogged("event=5006");
      Thread.sleep(OUTAGE.toMillis());
      fixture.store().emit(new StoreUpdate.CallAnswered());
      fixture.awaitLogged("event=5007");
      fixture.awaitLogged("event=5010");
      fixture.store().setUpstreams();
      Thread.sleep(DRAIN.dividedBy(2).toMillis());

      assertThat(statusOf("/lookup/a")).isEqualTo(200);
      assertThat(statusOf("/keyed/a")).isEqualTo(200);
      Thread.sleep(DRAIN.toMillis());
      assertThat(statusOf("/lookup/a")).isEqualTo(503);
    }
  }

  private GatewayFixture.Connection send(String id) throws IOException {
    GatewayFixture.Connection caller = fixture.connect();
    caller.send(get("/lookup/a", id, ""));
    return caller;
  }

  /** Requests in the queue would be sent as soon as earlier ones end, and be lost with it. */
  @Test
  void queuedRequestsAreNotSentAfterTheUpstreamHasLeft() throws Exception {
    var arrived = new CountDownLatch(INITIAL_LIMIT);
    var released = new CountDownLatch(1);
    try (var slow =
            new ScriptedUpstream(
                (n, id, out) -> {
                  arrived.countDown();
                  return awaitAndAnswer(released) && write(out, ok(id, "late"));
                });
        var keyed = new ScriptedUpstream((n, id, out) -> write(out, ok(id, "keyed")))) {
      UpstreamRecord leaving = upstream("u-1", SHARED, slow.address());
      UpstreamRecord other = upstream("u-2", KEYED, keyed.address());
      fixture.serve(leaving, other);
      List<GatewayFixture.Connection> callers = new ArrayList<>();
      for (int i : IntStream.range(0, INITIAL_LIMIT).toArray()) {
        callers.add(send("r" + i));
      }
      assertThat(arrived.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
      callers.add(send("queued"));

      fixture.store().setUpstreams(draining(leaving), other);
      Thread.sleep(DRAIN.plusMillis(200).toMillis());
      released.countDown();
      List<Integer> statuses = new ArrayList<>();
      for (GatewayFixture.Connection caller : callers) {
        statuses.add(caller.read().status());
        caller.close();
      }

      assertThat(statuses).containsExactly(200, 200, 503).inOrder();
      assertThat(slow.requestHeads()).hasSize(INITIAL_LIMIT);
    }
  }
}
