package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.ok;
import static org.catkinlift.gateway.ScriptedUpstream.write;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.gateway.http.TextHttpServer;
import org.catkinlift.gateway.http.TextResponse;
import org.catkinlift.gateway.peer.CoordinatorReply;
import org.catkinlift.gateway.peer.PeerCodec;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreUpdate;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.standin.FreePorts;
import org.junit.jupiter.api.Test;

/** Tests a daemon that gets the store's updates from a coordinator, which the test plays. */
final class RelayedUpdatesTest {
  private static final long AWAIT_SECONDS = 20;

  /** The time after which a leaving upstream must not receive requests, as in the settings. */
  private static final Duration DRAIN = Duration.ofSeconds(2);

  private static final int REPLIES_AFTER_FAILURE = 3;

  private final GatewayFixture fixture = new GatewayFixture();
  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final AtomicLong replies = new AtomicLong();
  private volatile CountDownLatch repliesAwaited = new CountDownLatch(REPLIES_AFTER_FAILURE);

  private void startCoordinator() throws Exception {
    NetworkAddress address = FreePorts.findOne("127.0.0.1");
    TextHttpServer.start(loop, address, TextHttpServer.Limits.PEERS, (path, body) -> reply())
        .sync();
    String leaseRow = "host-2 7 1 " + address.ip() + " " + address.port();
    fixture.store().putRow(new RowKey("catkinlift-role", "coordinator"), leaseRow);
  }

  private TextResponse reply() {
    repliesAwaited.countDown();
    return new TextResponse(
        200,
        PeerCodec.encode(
            new CoordinatorReply(
                HostId.of("host-2"),
                true,
                100 + replies.incrementAndGet(),
                2,
                1,
                new ObservedVersions(0, 0, 0),
                AdmissionShares.ADMIT_ALL,
                true,
                true,
                Duration.ZERO,
                ImmutableList.of())));
  }

  private int statusOfLookup() throws Exception {
    try (var connection = fixture.connect()) {
      connection.send(get("/lookup/a", "r" + System.nanoTime(), ""));
      return connection.read().status();
    }
  }

  private boolean isAnsweredWithin(Duration limit, int status) throws Exception {
    long deadlineNanos = System.nanoTime() + limit.toNanos();
    while (System.nanoTime() < deadlineNanos) {
      if (statusOfLookup() == status) {
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }

  /** A daemon would send to an upstream that has left until the upstream ends. */
  @Test
  void upstreamLeavesAfterCallsFailedThatWereNeverAnswered() throws Exception {
    try (var shared = new ScriptedUpstream((n, id, out) -> write(out, ok(id, "stock")))) {
      startCoordinator();
      fixture.publish(upstream("u-1", SHARED, shared.address()));
      assertThat(isAnsweredWithin(Duration.ofSeconds(AWAIT_SECONDS), 200)).isTrue();

      repliesAwaited = new CountDownLatch(REPLIES_AFTER_FAILURE);
      fixture.store().emit(new StoreUpdate.CallFailed("refused"));
      assertThat(repliesAwaited.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
      fixture.store().setUpstreams();

      assertThat(isAnsweredWithin(DRAIN, 503)).isTrue();
    }
  }
}
