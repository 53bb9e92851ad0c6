package org.catkinlift.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.fake.FakeDaemon;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

final class MembershipControlTest {
  private static final Duration ONE_SECOND = Duration.ofSeconds(1);
  private static final CellId SUVA = CellId.of("suva");

  private final FakeSite site = new FakeSite(1);

  private ImmutableSet<HostId> live(FakeDaemon daemon) {
    return daemon.members().live(SUVA, site.nowNanos());
  }

  private void assertLiveOnAllDaemons(String... hosts) {
    ImmutableSet<HostId> expected =
        ImmutableList.copyOf(hosts).stream().map(HostId::of).collect(ImmutableSet.toImmutableSet());
    for (FakeDaemon daemon : site.daemons()) {
      assertThat(live(daemon)).isEqualTo(expected);
    }
  }

  /** Guards against discovery that depends on the platform. */
  @Test
  void daemonsFindEachOtherThroughASeedWhileThePlatformIsDown() {
    site.platform().down(true);
    site.startAll(3, "suva", "nadi", "lautoka");
    site.run(Duration.ofSeconds(5));

    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.members().known()).hasSize(9);
    }
    assertThat(live(site.daemon("suva-02"))).hasSize(3);
  }

  /** Guards against members that suspect each other because they exchange no messages. */
  @Test
  void membersOfALargeCellSeeAllLiveMembersThroughTheCoordinator() {
    site.startAll(8, "suva");
    site.run(Duration.ofSeconds(5));
    for (FakeDaemon daemon : site.daemons()) {
      assertThat(live(daemon)).hasSize(8);
    }

    site.crash(HostId.of("suva-05"));
    site.run(Duration.ofMillis(1_500));

    for (FakeDaemon daemon : site.daemons()) {
      assertThat(live(daemon)).hasSize(7);
      assertThat(live(daemon)).doesNotContain(HostId.of("suva-05"));
    }
  }

  /** Guards against a stale or empty set of live members after the coordinator is replaced. */
  @Test
  void liveMembersStayKnownWhileCoordinatorIsReplacedAndReturns() {
    site.startAll(8, "suva");
    site.run(Duration.ofSeconds(5));
    site.daemon("suva-01").pause();
    site.run(ONE_SECOND.multipliedBy(2));
    site.makeCoordinator(FakeSite.host("suva", 2));
    site.run(ONE_SECOND.multipliedBy(2));
    for (FakeDaemon daemon : site.daemons()) {
      if (!daemon.id().equals(HostId.of("suva-01"))) {
        assertThat(live(daemon)).hasSize(7);
      }
    }

    site.daemon("suva-01").resume();
    site.run(ONE_SECOND.multipliedBy(2));

    for (FakeDaemon daemon : site.daemons()) {
      assertThat(live(daemon)).hasSize(8);
    }
  }

  /** Guards against suspicion that is too early, or too late for a failover within 3 s. */
  @Test
  void daemonIsSuspectedAfterOneSecondOfSilence() {
    site.startAll(2, "suva");
    site.run(Duration.ofSeconds(5));
    site.daemon("suva-02").pause();
    site.run(Duration.ofMillis(700));
    assertThat(live(site.daemon("suva-01"))).hasSize(2);

    site.run(Duration.ofMillis(400));

    assertThat(live(site.daemon("suva-01"))).containsExactly(HostId.of("suva-01"));
    assertThat(site.daemon("suva-01").logged(EventCode.MEMBER_SUSPECTED)).isEqualTo(1);
  }

  /** Guards against waiting for the suspicion timeout of a daemon that announced its shutdown. */
  @Test
  void leavingDaemonIsNotLiveUntilItRestarts() {
    site.startAll(3, "suva");
    site.run(Duration.ofSeconds(5));
    site.daemon("suva-02").deliver(new ControlEvent.StopRequested());
    site.run(Duration.ofMillis(5));
    assertLiveOnAllDaemons("suva-01", "suva-03");
    assertThat(site.daemon("suva-01").logged(EventCode.MEMBER_LEFT)).isEqualTo(1);

    site.run(Duration.ofSeconds(2));
    assertLiveOnAllDaemons("suva-01", "suva-03");
    site.crash(HostId.of("suva-02"));
    site.start(FakeSite.host("suva", 2), FakeSite.host("suva", 1));
    site.run(Duration.ofSeconds(5));

    assertLiveOnAllDaemons("suva-01", "suva-02", "suva-03");
  }

  /** Guards against suspecting daemons because the host list lags or is empty. */
  @Test
  void hostMissingFromHostListIsNotSuspected() {
    site.startAll(3, "suva");
    site.run(Duration.ofSeconds(5));
    site.platform().hosts(ImmutableList.of());

    site.run(Duration.ofMinutes(11));

    assertLiveOnAllDaemons("suva-01", "suva-02", "suva-03");
    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.logged(EventCode.MEMBER_SUSPECTED)).isEqualTo(0);
    }
  }

  /** Guards against treating a failed host as live because it is still in the host list. */
  @Test
  void silentListedHostIsNotLiveAndIsRemovedTenMinutesAfterItLeftTheList() {
    site.startAll(2, "suva");
    HostDefinition dead = FakeSite.host("suva", 9);
    site.platform().hosts(ImmutableList.of(dead));
    site.run(Duration.ofSeconds(15));
    assertThat(live(site.daemon("suva-02"))).doesNotContain(dead.id());
    assertThat(site.daemon("suva-02").members().find(dead.id())).isPresent();

    site.platform().hosts(ImmutableList.of());
    site.run(Duration.ofMinutes(11));

    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.members().find(dead.id())).isEmpty();
    }
  }

  /** Guards against removing hosts because the host list could not be read. */
  @Test
  void noHostIsRemovedWhileThePlatformIsDown() {
    site.startAll(2, "suva", "nadi");
    site.run(Duration.ofSeconds(15));
    site.platform().down(true);

    site.run(Duration.ofMinutes(30));

    assertThat(site.daemon("suva-01").members().known()).hasSize(4);
  }

  /** Guards against a cell that does not admit replacement hosts with new names and addresses. */
  @Test
  void halfOfACellMayBeReplacedAtOnce() {
    site.startAll(4, "suva");
    site.run(Duration.ofSeconds(5));
    site.crash(HostId.of("suva-03"));
    site.crash(HostId.of("suva-04"));
    site.start(FakeSite.host("suva", 11), FakeSite.host("suva", 1));
    site.start(FakeSite.host("suva", 12), FakeSite.host("suva", 1));

    site.run(Duration.ofSeconds(6));

    assertLiveOnAllDaemons("suva-01", "suva-02", "suva-11", "suva-12");
  }

  /** Guards against reads by every daemon, which would overload the platform at 19,000 daemons. */
  @Test
  void onlyTwoDaemonsOfACellReadTheHostList() {
    site.startAll(8, "suva");
    site.run(Duration.ofSeconds(20));
    int before = site.platform().hostReads();

    site.run(Duration.ofSeconds(100));

    assertThat(site.platform().hostReads() - before).isAtMost(20);
    assertThat(site.platform().hostReads() - before).isAtLeast(10);
  }

  /**
   * Guards against a daemon that never requests the known hosts because all its cell peers sent it
   * a hello first.
   */
  @Test
  void daemonThatReceivesHellosBeforeItsFirstTickLearnsAllHosts() {
    site.startAll(3, "suva", "nadi");
    site.run(Duration.ofSeconds(15));
    site.platform().down(true);
    FakeDaemon lateDaemon = site.start(FakeSite.host("suva", 4));
    for (int number = 1; number <= 3; number++) {
      HostDefinition peer = FakeSite.host("suva", number);
      var hello = new PeerMessage.Hello(peer, ImmutableSet.of(lateDaemon.definition()), true);
      lateDaemon.deliver(new ControlEvent.PeerMessageReceived(peer.id(), hello));
    }

    site.run(Duration.ofSeconds(5));

    assertThat(lateDaemon.members().known()).hasSize(7);
  }

  /** Guards against new hosts that only the daemons that read the host list know. */
  @Test
  void readersAnnounceNewHostsOfOtherCellsToTheirCellPeers() {
    site.startAll(4, "suva");
    site.run(Duration.ofSeconds(25));
    HostDefinition other = FakeSite.host("nadi", 1);
    site.platform()
        .hosts(
            ImmutableList.<HostDefinition>builder()
                .addAll(site.daemon("suva-01").members().known())
                .add(other)
                .build());

    site.run(Duration.ofSeconds(12));

    for (FakeDaemon daemon : site.daemons()) {
      assertThat(daemon.members().find(other.id())).hasValue(other);
    }
  }
}
