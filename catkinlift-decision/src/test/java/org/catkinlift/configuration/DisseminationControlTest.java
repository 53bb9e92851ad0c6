package org.catkinlift.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.RowValue;
import org.catkinlift.control.fake.FakeDaemon;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.junit.jupiter.api.Test;

final class DisseminationControlTest {
  /** The time within which a configuration has to be in force on all daemons. */
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(7);

  /** The interval of the digests that carry the configuration age to the members of a cell. */
  private static final Duration INTRA_CELL_PUSH_INTERVAL = Duration.ofSeconds(10);

  private final FakeSite site = new FakeSite(1);

  private void putConfiguration(long version) {
    site.platform()
        .put(Configuration.NAME, new RowValue.ConfigurationRow(FakeSite.configuration(version)));
  }

  private void startThreeZones() {
    putConfiguration(1);
    site.startAll(3, "suva", "nadi", "lautoka");
    site.run(PROPAGATION_LIMIT);
  }

  private Duration age(FakeDaemon daemon) {
    return daemon.dissemination().age(site.nowNanos()).orElseThrow();
  }

  /** Guards against daemons that miss a configuration written to the platform. */
  @Test
  void configurationReachesAllDaemonsWithinTheBound() {
    startThreeZones();
    assertThat(site.allDaemonsHave(1)).isTrue();

    putConfiguration(2);
    site.run(PROPAGATION_LIMIT);

    assertThat(site.allDaemonsHave(2)).isTrue();
    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.logged(EventCode.CONFIGURATION_APPLIED)).isEqualTo(2);
    }
  }

  /** Guards against a daemon without a configuration because it started during an outage. */
  @Test
  void daemonStartedDuringAnOutagePullsFromPeersAndReportsAge() {
    startThreeZones();
    site.platform().down(true);
    site.run(Duration.ofSeconds(20));
    HostDefinition late = FakeSite.host("nadi", 4);
    site.start(late, FakeSite.host("suva", 1));

    site.run(Duration.ofSeconds(40));

    assertThat(site.allDaemonsHave(1)).isTrue();
    assertThat(age(site.daemon("nadi-04"))).isAtLeast(Duration.ofSeconds(58));
    assertThat(site.daemon("suva-01").logged(EventCode.PLATFORM_UNREACHABLE)).isEqualTo(1);

    site.platform().down(false);
    site.run(Duration.ofSeconds(15));

    assertThat(age(site.daemon("nadi-04"))).isAtMost(INTRA_CELL_PUSH_INTERVAL.plusSeconds(2));
    assertThat(site.daemon("suva-01").logged(EventCode.PLATFORM_REACHABLE)).isEqualTo(1);
  }

  /** Guards against an age that stays low because daemons confirm each other's configuration. */
  @Test
  void ageGrowsDuringAnOutageDespiteDigests() {
    startThreeZones();
    site.platform().down(true);

    site.run(Duration.ofMinutes(1));

    for (FakeDaemon daemon : site.daemons()) {
      assertThat(age(daemon)).isAtLeast(Duration.ofSeconds(59));
      assertThat(age(daemon)).isAtMost(Duration.ofSeconds(59).plus(INTRA_CELL_PUSH_INTERVAL));
    }
  }

  /** Guards against a member that never gets a version whose only pull reply was lost. */
  @Test
  void versionOfALostPullReplyIsPulledAgain() {
    startThreeZones();
    FakeDaemon member = site.daemon("suva-03");
    var changed = new PeerMessage.Digest(ImmutableMap.of(Configuration.NAME, Epoch.of(2, 0)));
    site.setPartitioned("suva", true);
    site.daemon("nadi-01").store().offer(FakeSite.configuration(2));
    member.deliver(heartbeat(HostId.of("nadi-01"), 1, changed));
    site.run(Duration.ofSeconds(3));
    assertThat(member.store().configuration().version()).isEqualTo(1);

    site.platform().down(true);
    site.setPartitioned("suva", false);
    member.deliver(heartbeat(HostId.of("nadi-01"), 2, new PeerMessage.Digest(ImmutableMap.of())));
    site.run(Duration.ofMillis(10));

    assertThat(member.store().configuration().version()).isEqualTo(2);
  }

  private static ControlEvent heartbeat(HostId from, long sequence, PeerMessage.Digest digest) {
    var range = new DigestRange(0, sequence - 1, 0);
    return new ControlEvent.PeerMessageReceived(
        from,
        new PeerMessage.Heartbeat(
            CellId.of("nadi"), 1, sequence, 0, digest, range, ImmutableList.of()));
  }

  /** Guards against a reversion when a zone sends its older version after a partition. */
  @Test
  void olderVersionOfAReconnectedPeerIsRejected() {
    startThreeZones();
    site.setPartitioned("lautoka", true);
    site.daemon("suva-01").store().offer(FakeSite.configuration(2));
    site.platform().down(true);
    site.run(PROPAGATION_LIMIT);
    assertThat(site.daemon("lautoka-01").store().configuration().version()).isEqualTo(1);
    assertThat(site.daemon("suva-03").store().configuration().version()).isEqualTo(2);

    var old = new PeerMessage.PullReply(ImmutableList.of(FakeSite.configuration(1)));
    site.daemon("suva-02")
        .deliver(new ControlEvent.PeerMessageReceived(HostId.of("lautoka-01"), old));
    assertThat(site.daemon("suva-02").store().configuration().version()).isEqualTo(2);
    assertThat(site.daemon("suva-02").logged(EventCode.CONFIGURATION_STALE)).isEqualTo(1);
    site.setPartitioned("lautoka", false);
    site.run(PROPAGATION_LIMIT);

    assertThat(site.allDaemonsHave(2)).isTrue();
  }

  /** Guards against a cell that receives no configuration while its coordinator is unavailable. */
  @Test
  void cellWithoutItsCoordinatorStillGetsTheConfiguration() {
    startThreeZones();
    site.daemon("nadi-01").pause();
    site.run(Duration.ofSeconds(2));
    putConfiguration(2);
    site.run(PROPAGATION_LIMIT);
    assertThat(site.daemon("nadi-02").store().configuration().version()).isEqualTo(2);
    assertThat(site.daemon("nadi-03").store().configuration().version()).isEqualTo(2);

    site.daemon("nadi-01").resume();
    site.run(PROPAGATION_LIMIT);

    assertThat(site.allDaemonsHave(2)).isTrue();
  }

  /** Guards against a configuration that is lost or reverts during a rolling restart. */
  @Test
  void rollingRestartOfAllDaemonsKeepsTheConfigurationDuringAnOutage() {
    startThreeZones();
    site.platform().down(true);
    for (FakeDaemon daemon : site.daemons()) {
      daemon.deliver(new ControlEvent.StopRequested());
      site.crash(daemon.id());
      site.start(daemon.definition(), FakeSite.host("suva", 1), FakeSite.host("nadi", 1));
      site.run(Duration.ofSeconds(5));
    }

    assertThat(site.allDaemonsHave(1)).isTrue();
    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.members().known()).hasSize(9);
    }
  }

  /** Guards against values that are updated by other components and not announced. */
  @Test
  void assignmentOfOneCoordinatorReachesAllDaemons() {
    startThreeZones();
    var assignment =
        new Assignment(
            ServiceName.of("order-desk"),
            CellId.of("suva"),
            Epoch.of(1, 1),
            ImmutableSortedMap.of(),
            ImmutableMap.of());
    site.daemon("suva-01").store().offer(assignment);

    site.run(Duration.ofSeconds(1));

    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.store().value(assignment.name())).isPresent();
    }
  }

  /** Guards against a change that is never announced again after its digest was lost. */
  @Test
  void valueMissedByAPartitionedZoneArrivesAfterReconnection() {
    startThreeZones();
    site.setPartitioned("lautoka", true);
    for (int i = 0; i < 30; i++) {
      site.daemon("suva-01")
          .store()
          .offer(
              new Assignment(
                  ServiceName.of("service-" + i),
                  CellId.of("suva"),
                  Epoch.of(1, 1),
                  ImmutableSortedMap.of(),
                  ImmutableMap.of()));
    }
    site.run(Duration.ofSeconds(10));
    site.setPartitioned("lautoka", false);

    site.run(Duration.ofSeconds(30));

    assertThat(site.daemon("lautoka-03").store().digest())
        .isEqualTo(site.daemon("suva-01").store().digest());
  }
}
