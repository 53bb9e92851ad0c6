package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.upstream;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.catkinlift.gateway.http.TextHttpServer;
import org.catkinlift.gateway.http.TextResponse;
import org.catkinlift.gateway.peer.PeerCodec;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.TenantName;
import org.catkinlift.shares.Share;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareOffer;
import org.catkinlift.shares.ShareState;
import org.catkinlift.standin.FreePorts;
import org.junit.jupiter.api.Test;

/** Tests the way of shares from a coordinator, which the test plays, to the traffic thread. */
final class QuotaSharesTest {
  private static final long AWAIT_SECONDS = 20;
  private static final String REPLY = "coordinator host-2 true 100 2 1000000\n";
  private static final ShareState STATE = new ShareState(77, 5);
  private static final ShareGrant<TenantName> GRANT =
      new ShareGrant<>(
          STATE,
          Duration.ofSeconds(7),
          true,
          ImmutableMap.of(TenantName.of("t"), new ShareOffer(new Share(0.5, 0.5), 0.5)));

  private final GatewayFixture fixture = new GatewayFixture();
  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final CountDownLatch confirmed = new CountDownLatch(1);

  private TextResponse reply(String report) {
    if (PeerCodec.decodeReport(report).quotas().state().equals(STATE)) {
      confirmed.countDown();
    }
    return new TextResponse(
        200, PeerCodec.encode(PeerCodec.decodeReply(REPLY).withQuotaShares(GRANT)));
  }

  /** The coordinator would never change a share that the daemon does not confirm. */
  @Test
  void daemonConfirmsShares() throws Exception {
    NetworkAddress address = FreePorts.findOne("127.0.0.1");
    TextHttpServer.start(loop, address, TextHttpServer.Limits.PEERS, (path, body) -> reply(body))
        .sync();
    String leaseRow = "host-2 7 1 " + address.ip() + " " + address.port();
    fixture.store().putRow(new RowKey("catkinlift-role", "coordinator"), leaseRow);
    fixture.publish(upstream("u-1", SHARED, FreePorts.findOne("127.0.0.1")));

    assertThat(confirmed.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }
}
