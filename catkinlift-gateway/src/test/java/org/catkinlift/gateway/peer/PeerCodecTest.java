package org.catkinlift.gateway.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.gateway.store.RowChange;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.TenantName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.shares.Share;
import org.catkinlift.shares.ShareDemand;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareOffer;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.shares.ShareState;
import org.junit.jupiter.api.Test;

/** Guards against misread messages between daemons, also between daemons of different versions. */
final class PeerCodecTest {
  private static final ObservedVersions VERSIONS = new ObservedVersions(1, 2, 3);

  @Test
  void reportRoundTrips() {
    var report =
        new LoadReport(
            HostId.of("host-1"),
            1.5,
            VERSIONS,
            ImmutableList.of(new LoadReport.KeyWork(ServiceName.of("desk"), 77, 2, 0.125)),
            ImmutableMap.of(UpstreamId.of("u-1"), new LoadReport.WorkTimes(0.5, 0.25)));

    assertThat(PeerCodec.decodeReport(PeerCodec.encode(report))).isEqualTo(report);
  }

  @Test
  void withTrafficKeepsUnsentTraffic() {
    UpstreamId upstream = UpstreamId.of("u-1");
    var first = new LoadReport.KeyWork(ServiceName.of("desk"), 77, 2, 0.125);
    var second = new LoadReport.KeyWork(ServiceName.of("desk"), 78, 1, 0.25);
    LoadReport report =
        new LoadReport(
                HostId.of("host-1"),
                1.5,
                VERSIONS,
                ImmutableList.of(first),
                ImmutableMap.of(upstream, new LoadReport.WorkTimes(0.5, 0.25)))
            .withTraffic(
                new ObservedVersions(4, 5, 6),
                ImmutableList.of(second),
                ImmutableMap.of(upstream, new LoadReport.WorkTimes(1, 0.5)));

    assertThat(report.keyWork()).containsExactly(first, second).inOrder();
    assertThat(report.workTimes()).containsExactly(upstream, new LoadReport.WorkTimes(1.5, 0.75));
    assertThat(report.observedVersions()).isEqualTo(new ObservedVersions(4, 5, 6));
  }

  @Test
  void replyRoundTrips() {
    var shares =
        new AdmissionShares(
            ImmutableMap.of(UpstreamId.of("u-1"), ImmutableSortedMap.of(1, 1.0, 2, 0.25)));
    var reply =
        new CoordinatorReply(
            HostId.of("host-2"),
            true,
            44,
            11,
            1.5,
            VERSIONS,
            shares,
            false,
            true,
            Duration.ofMillis(2300),
            ImmutableList.of(
                new RowChange("table-1", "a key / of others", 9, Optional.of("e30=")),
                new RowChange("table-1", "gone", 10, Optional.empty())));

    assertThat(PeerCodec.decodeReply(PeerCodec.encode(reply))).isEqualTo(reply);
  }

  private static final TenantName TENANT = TenantName.of("tenant-1");

  @Test
  void quotasOfReportRoundTrip() {
    var quotas =
        new ShareReport<>(
            new ShareState(77, 5),
            ImmutableMap.of(TENANT, new ShareDemand(3, 2, 1.5, 142.25, 20)),
            ImmutableMap.of(TENANT, new Share(0.25, 0.125)));
    LoadReport report = PeerCodec.decodeReport("host host-1 600000\n").withQuotas(quotas);

    assertThat(PeerCodec.decodeReport(PeerCodec.encode(report))).isEqualTo(report);
  }

  @Test
  void quotaSharesOfReplyRoundTrip() {
    var shares =
        new ShareGrant<>(
            new ShareState(77, 6),
            Duration.ofSeconds(7),
            true,
            ImmutableMap.of(TENANT, new ShareOffer(new Share(0.25, 0.125), 0.0625)));
    CoordinatorReply reply =
        PeerCodec.decodeReply("coordinator host-2 true 44 11 1500000\n").withQuotaShares(shares);

    assertThat(PeerCodec.decodeReply(PeerCodec.encode(reply))).isEqualTo(reply);
  }

  /** Guards against bytes for deployments without tenants. */
  @Test
  void messagesWithoutTenantsHaveNoLinesAboutQuotas() {
    LoadReport report = PeerCodec.decodeReport("host host-1 600000\n");
    CoordinatorReply reply = PeerCodec.decodeReply("coordinator host-2 true 44 11 1500000\n");

    assertThat(PeerCodec.encode(report)).isEqualTo("host host-1 600000\nnews 0 0 0\n");
    assertThat(PeerCodec.encode(reply))
        .isEqualTo("coordinator host-2 true 44 11 1500000\nnews 0 0 0\npasses false 0 false\n");
  }

  @Test
  void malformedQuotasAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> PeerCodec.decodeReport("host host-1 600000\ndemand tenant-1 1 1 1 0 1\n"));
    assertThrows(
        IllegalArgumentException.class,
        () -> PeerCodec.decodeReport("host host-1 600000\nheld tenant-1 2000000 1\n"));
  }

  /** A daemon of an earlier build does not state whether the store responded to it. */
  @Test
  void relayOfEarlierBuildCountsAsContactWithStore() {
    CoordinatorReply reply =
        PeerCodec.decodeReply("coordinator host-2 true 44 11 1500000\npasses true 2300\n");

    assertThat(reply.storeConfirmed()).isTrue();
    assertThat(reply.gracePeriod()).isEqualTo(Duration.ofMillis(2_300));
  }

  @Test
  void eraOfTheStoreRoundTrips() {
    ObservedVersions versions = VERSIONS.inEra(7);
    var report =
        new LoadReport(HostId.of("host-1"), 1.5, versions, ImmutableList.of(), ImmutableMap.of());
    var reply =
        new CoordinatorReply(
            HostId.of("host-2"),
            true,
            44,
            11,
            1.5,
            versions,
            AdmissionShares.ADMIT_ALL,
            false,
            true,
            Duration.ZERO,
            ImmutableList.of());

    assertThat(PeerCodec.decodeReport(PeerCodec.encode(report))).isEqualTo(report);
    assertThat(PeerCodec.decodeReply(PeerCodec.encode(reply))).isEqualTo(reply);
  }

  /** Deployments whose store states no era exchange what they exchanged before. */
  @Test
  void messagesWithoutAnEraAreUnchanged() {
    var report =
        new LoadReport(HostId.of("host-1"), 1.5, VERSIONS, ImmutableList.of(), ImmutableMap.of());

    assertThat(PeerCodec.encode(report)).isEqualTo("host host-1 1500000\nnews 1 2 3\n");
  }

  @Test
  void unknownLinesAreSkipped() {
    LoadReport report = PeerCodec.decodeReport("later things\nhost host-1 600000\n");

    assertThat(report.host()).isEqualTo(HostId.of("host-1"));
  }

  @Test
  void malformedMessagesAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> PeerCodec.decodeReport("host host-1 600000\nwork desk\n"));
    assertThrows(IllegalArgumentException.class, () -> PeerCodec.decodeReport(""));
    assertThrows(IllegalArgumentException.class, () -> PeerCodec.decodeReply("news 1 2 3\n"));
  }

  /**
   * Anything but an exception that the handlers of messages catch would end their thread's work.
   */
  @Test
  void mutatedReportsAreDecodedOrRejected() {
    String text =
        "host host-1 1500000\nnews 1 2 3\nwork desk 77 2 125000\nspeed u-1 500000 250000\n";
    String[] fragments = {"", "-1", "70000", "99999999999999999999", "\n", " ", "NaN", "work desk"};
    for (long seed = 1; seed <= 20_000; seed++) {
      var random = new SplittableRandom(seed);
      var mutated = new StringBuilder(text);
      int start = random.nextInt(mutated.length());
      int end = Math.min(mutated.length(), start + random.nextInt(8));
      mutated.replace(start, end, fragments[random.nextInt(fragments.length)]);
      try {
        LoadReport report = PeerCodec.decodeReport(mutated.toString());
        assertThat(report.keyWork().stream().allMatch(w -> w.key() < 65_536)).isTrue();
      } catch (IllegalArgumentException | ModelException expected) {
        // The sender gets status 400.
      }
    }
  }
}
