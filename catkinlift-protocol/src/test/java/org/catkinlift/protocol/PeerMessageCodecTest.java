package org.catkinlift.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.protocol.generated.Frame;
import org.catkinlift.protocol.generated.HelloFrame;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against fields that are lost or swapped by encoding and decoding. */
final class PeerMessageCodecTest {
  private static final CellId CELL = CellId.of("suva");
  private static final ZoneName ZONE = ZoneName.of("suva");
  private static final HostId HOST = HostId.of("suva-1");
  private static final UpstreamId UPSTREAM = UpstreamId.of("desk-1");
  private static final ServiceName SERVICE = ServiceName.of("order-desk");
  private static final Epoch EPOCH = Epoch.of(7, 11);
  private static final DispatchRelease RELEASE =
      new DispatchRelease(Epoch.of(7, 10), 3, Duration.ofMillis(400), Duration.ofSeconds(9));
  private static final HostDefinition DEFINITION =
      new HostDefinition(HOST, ZONE, CELL, NetworkAddress.of("127.0.0.1", 7001));
  private static final PeerMessage.Digest DIGEST =
      new PeerMessage.Digest(
          ImmutableMap.of("config/head", Epoch.of(3, 0)), Optional.of(Duration.ofSeconds(2)));

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new PeerMessage.Hello(DEFINITION, ImmutableSet.of(DEFINITION), true),
        new PeerMessage.Heartbeat(
            CELL,
            7,
            12,
            11,
            DIGEST,
            new DigestRange(0, 10, 9),
            ImmutableList.of(
                new DispatchLease(UPSTREAM, HOST, EPOCH, Duration.ofMillis(900)),
                new DispatchLease(
                    UPSTREAM, HOST, EPOCH, Duration.ofMillis(900), Optional.of(RELEASE)))),
        new PeerMessage.HeartbeatAck(
            CELL,
            7,
            12,
            new PeerMessage.Digest(ImmutableMap.of()),
            new DigestRange(-5, 0, 13),
            ImmutableList.of(
                new PeerMessage.UpstreamLoad(
                    UPSTREAM,
                    "run-1",
                    4,
                    3,
                    2,
                    ImmutableMap.of(5, 1.5),
                    ImmutableMap.of("school-9", 0.25)),
                new PeerMessage.UpstreamLoad(
                    UPSTREAM,
                    "run-1",
                    4,
                    3,
                    2,
                    ImmutableMap.of(),
                    ImmutableMap.of(),
                    Optional.of(RELEASE)))),
        new PeerMessage.PromiseRequest("cell/suva", 7, 3, Duration.ofSeconds(1)),
        new PeerMessage.Promise("cell/suva", 7, 3, Duration.ofSeconds(1), 8),
        DIGEST,
        new PeerMessage.Pull(ImmutableList.of("config/head")),
        new PeerMessage.PullReply(
            ImmutableList.of(configuration(), homes(), assignment(), dispatchers(), cellLoad())),
        new PeerMessage.Leaving(HOST));
  }

  private static Configuration configuration() {
    var upstream =
        new UpstreamDefinition(UPSTREAM, ZONE, CELL, NetworkAddress.of("127.0.0.1", 9001), 4, 130);
    return Configuration.builder()
        .version(3)
        .services(
            ImmutableMap.of(
                SERVICE,
                service(SERVICE, unchecked(), upstream),
                ServiceName.of("orders"),
                service(ServiceName.of("orders"), lapse(), upstream),
                ServiceName.of("proof-files"),
                service(ServiceName.of("proof-files"), ServiceKind.shared(), upstream)))
        .drainedZones(ImmutableSet.of(ZoneName.of("nadi")))
        .lostZones(ImmutableSet.of(ZoneName.of("lautoka")))
        .retiringUpstreams(ImmutableSet.of(UPSTREAM))
        .retiringHosts(ImmutableSet.of(HOST))
        .build();
  }

  private static ServiceDefinition service(
      ServiceName name, ServiceKind kind, UpstreamDefinition upstream) {
    return new ServiceDefinition(name, kind, ImmutableSet.of(ZONE), ImmutableList.of(upstream), 60);
  }

  private static ServiceKind unchecked() {
    return new ServiceKind.Keyed(
        64,
        new CutOffRule.Hold(Duration.ofMinutes(10), Optional.of(Duration.ofSeconds(30))),
        new GrantChecking.Unchecked(Duration.ofMillis(500)));
  }

  private static ServiceKind lapse() {
    return new ServiceKind.Keyed(64, CutOffRule.lapse(), GrantChecking.checked());
  }

  private static HomeMap homes() {
    return new HomeMap(
        SERVICE, 9, ImmutableList.of(CELL, CELL, CellId.of("nadi"), CELL, CellId.of("nadi")));
  }

  private static Assignment assignment() {
    return new Assignment(
        SERVICE,
        CELL,
        EPOCH,
        ImmutableSortedMap.of(0, SlotOwner.of(UPSTREAM, EPOCH), 3, SlotOwner.NONE),
        ImmutableMap.of("school-9", SlotOwner.of(UPSTREAM, Epoch.of(7, 12))));
  }

  private static DispatcherMap dispatchers() {
    return new DispatcherMap(CELL, EPOCH, ImmutableMap.of(UPSTREAM, HOST));
  }

  private static CellLoad cellLoad() {
    return new CellLoad(SERVICE, CELL, EPOCH, new CellLoad.Measured(9, 31.5, 0.25, 40));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void roundTripsMessage(PeerMessage message) {
    assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message))).hasValue(message);
  }

  @Test
  void rejectsFrameWithoutMandatoryField() {
    Frame frame = Frame.newBuilder().setHello(HelloFrame.getDefaultInstance()).build();

    var e = assertThrows(ProtocolException.class, () -> PeerMessageCodec.decode(frame));

    assertThat(e.code()).isEqualTo(ProtocolException.Code.MALFORMED_FRAME);
  }
}
