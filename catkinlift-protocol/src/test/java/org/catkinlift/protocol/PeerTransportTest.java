package org.catkinlift.protocol;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards against links that are not opened again after the other daemon was replaced. */
final class PeerTransportTest {
  private static final int WAIT_SECONDS = 30;

  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<PeerLink> closed = new LinkedBlockingQueue<>();

  @Test
  void opensNewLinkAfterPeerWasReplaced() throws Exception {
    HostDefinition a = host("a");
    HostDefinition b = host("b");
    PeerTransport sender = PeerTransport.start(a.id(), a.peerAddress(), listener()).get();
    PeerTransport first = PeerTransport.start(b.id(), b.peerAddress(), listener()).get();
    sender.send(b, new PeerMessage.Leaving(a.id()));
    assertThat(received.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();

    first.close().get();
    assertThat(closed.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    PeerTransport second = PeerTransport.start(b.id(), b.peerAddress(), listener()).get();
    PeerMessage message = sendUntilReceived(sender, b);

    assertThat(message).isEqualTo(new PeerMessage.Leaving(a.id()));
    sender.close().get();
    second.close().get();
  }

  /** A message may be lost while the old link is being closed, as the interface says. */
  private PeerMessage sendUntilReceived(PeerTransport sender, HostDefinition to)
      throws InterruptedException {
    for (int i = 0; i < WAIT_SECONDS * 10; i++) {
      sender.send(to, new PeerMessage.Leaving(HostId.of("a")));
      PeerMessage message = received.poll(100, TimeUnit.MILLISECONDS);
      if (message != null) {
        return message;
      }
    }
    return null;
  }

  private static HostDefinition host(String name) throws Exception {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new HostDefinition(
          HostId.of(name),
          ZoneName.of("suva"),
          CellId.of("suva"),
          NetworkAddress.of("127.0.0.1", socket.getLocalPort()));
    }
  }

  private PeerListener listener() {
    return new PeerListener() {
      @Override
      public void messageReceived(HostId from, PeerMessage message) {
        received.add(message);
      }

      @Override
      public void relayReceived(PeerLink link, RelayFrame frame) {}

      @Override
      public void linkClosed(PeerLink link) {
        closed.add(link);
      }
    };
  }
}
