package org.catkinlift.daemon.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.buffer.Buffer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.protocol.PeerLink;
import org.catkinlift.protocol.PeerListener;
import org.catkinlift.protocol.PeerTransport;
import org.catkinlift.protocol.RelayFrame;
import org.catkinlift.protocol.RelayHead;
import org.catkinlift.standin.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait on the link to a dispatcher that is paused or unreachable. */
final class RelayClientTest {
  private static final int WAIT_SECONDS = 30;

  private final RelayClient client = new RelayClient(service -> {});
  private final BlockingQueue<PeerLink> suspected = new LinkedBlockingQueue<>();
  private ServerSocket silentPeer;
  private PeerTransport transport;

  @BeforeEach
  void connect() throws Exception {
    silentPeer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    transport =
        PeerTransport.start(HostId.of("a"), FreePorts.findOne("127.0.0.1"), new Listener()).get();
    client.connect(transport);
  }

  @AfterEach
  void close() throws Exception {
    transport.close().get(WAIT_SECONDS, TimeUnit.SECONDS);
    silentPeer.close();
  }

  @Test
  void silentLinkFailsRepeatableRequestsWithoutResponseOnly() throws Exception {
    var lookup = new RecordingListener();
    var order = new RecordingListener();
    var downloading = new RecordingListener();
    var unusedOrder = client.open(peer(), head("order", RequestClass.AT_MOST_ONCE), order);
    var unusedLookup = client.open(peer(), head("lookup", RequestClass.REPEATABLE), lookup);
    var unusedDownload = client.open(peer(), head("file", RequestClass.REPEATABLE), downloading);
    PeerLink link = transport.relayLink(peer()).get(WAIT_SECONDS, TimeUnit.SECONDS);
    client.frameReceived(new RelayFrame.Response(3, 200, ImmutableListMultimap.of()));

    assertThat(suspected.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(link);

    assertThat(lookup.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(Outcome.unknown(RefusalCode.CONNECTION_LOST));
    assertThat(order.outcomes).isEmpty();
    assertThat(downloading.outcomes).isEmpty();
  }

  private HostDefinition peer() {
    return new HostDefinition(
        HostId.of("b"),
        ZoneName.of("suva"),
        CellId.of("suva"),
        NetworkAddress.of("127.0.0.1", silentPeer.getLocalPort()));
  }

  private static RelayHead head(String id, RequestClass requestClass) {
    return RelayHead.builder()
        .request(
            RequestDescription.builder()
                .id(RequestId.of(id))
                .service(ServiceName.of("order-desk"))
                .key("school-1")
                .requestClass(requestClass)
                .deadline(Duration.ofSeconds(10))
                .build())
        .upstream(UpstreamId.of("desk-1"))
        .slot(1)
        .epoch(Epoch.NONE)
        .method("GET")
        .target("/lookup/school-1")
        .headers(ImmutableListMultimap.of())
        .hasBody(false)
        .build();
  }

  /** Forwards transport events to the client, as the daemon does. */
  private final class Listener implements PeerListener {
    @Override
    public void messageReceived(HostId from, PeerMessage message) {}

    @Override
    public void relayReceived(PeerLink link, RelayFrame frame) {
      client.frameReceived(frame);
    }

    @Override
    public void linkSuspected(PeerLink link) {
      client.linkSuspected(link);
      suspected.add(link);
    }

    @Override
    public void linkClosed(PeerLink link) {
      client.linkClosed(link);
    }
  }

  /** Records the outcome of an attempt. */
  private static final class RecordingListener implements AttemptListener {
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();

    @Override
    public void headReceived(int status, ImmutableListMultimap<String, String> headers) {}

    @Override
    public void bodyReceived(Buffer data, boolean last) {}

    @Override
    public void creditGranted(int bytes) {}

    @Override
    public void failed(Outcome outcome) {
      outcomes.add(outcome);
    }
  }
}
