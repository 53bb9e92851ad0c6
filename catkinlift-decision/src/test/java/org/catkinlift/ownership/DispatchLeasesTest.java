package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.PeerMessage.HeartbeatAck;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class DispatchLeasesTest {
  private static final CellId CELL = CellId.of("suva");
  private static final HostId SELF = HostId.of("suva-01");
  private static final HostId MEMBER = HostId.of("suva-02");
  private static final UpstreamId UPSTREAM = UpstreamId.of("order-desk-1");
  private static final String NAME = "assignment/order-desk/suva";
  private static final Epoch VERSION = Epoch.of(1, 9);
  private static final long RUN = 5;

  /**
   * Greater than the sequences of all answers in the tests, so that none of them ends the lease.
   */
  private static final int ISSUED_IN_SEQUENCE = 10;

  private final DispatchLeases leases =
      new DispatchLeases(SELF, OwnershipTimings.defaults(), new EpochIssuer(1), new VersionStore());

  private void acknowledge(long sequence, long run, long base, Digest digest) {
    var range = new DigestRange(run, base, 0);
    leases.onHeartbeatAck(
        MEMBER, new HeartbeatAck(CELL, 1, sequence, digest, range, ImmutableList.of()), sequence);
  }

  private boolean memberHas(Epoch version) {
    return leases.allDispatchersHaveVersion(UPSTREAM, NAME, version, 10);
  }

  private void issueLeaseToMember() {
    var unused = leases.choose(ImmutableSet.of(UPSTREAM), ImmutableSet.of(MEMBER));
    for (int i = 0; i < ISSUED_IN_SEQUENCE; i++) {
      leases.nextSequence();
    }
    acknowledge(1, RUN, 0, new Digest(ImmutableMap.of(NAME, VERSION)));
    assertThat(leases.issue(MEMBER, u -> Long.MAX_VALUE / 4, u -> Duration.ofSeconds(1), 2))
        .hasSize(1);
  }

  /**
   * Guards against moves that never complete because an answer states only the changed versions.
   */
  @Test
  void versionsOfEarlierAnswersStayKnown() {
    issueLeaseToMember();
    acknowledge(2, RUN, 1, new Digest(ImmutableMap.of()));
    assertThat(memberHas(VERSION)).isTrue();
    assertThat(memberHas(Epoch.of(1, 10))).isFalse();
  }

  /**
   * Guards against a second owner of a slot, which would result from assuming that a restarted
   * dispatcher still has the versions stated by its earlier run.
   */
  @Test
  void versionsOfAnEarlierRunDoNotCount() {
    issueLeaseToMember();
    acknowledge(2, RUN + 1, 0, new Digest(ImmutableMap.of()));
    assertThat(memberHas(VERSION)).isFalse();
  }

  /** Guards against an answer received out of order that replaces later versions. */
  @Test
  void overtakenAnswersChangeNothing() {
    issueLeaseToMember();
    acknowledge(3, RUN, 1, new Digest(ImmutableMap.of(NAME, Epoch.of(1, 10))));
    acknowledge(2, RUN, 1, new Digest(ImmutableMap.of(NAME, VERSION)));
    assertThat(memberHas(Epoch.of(1, 10))).isTrue();
    assertThat(leases.heartbeat(CELL, 1, MEMBER, ImmutableList.of()).range().acknowledged())
        .isEqualTo(3);
  }
}
