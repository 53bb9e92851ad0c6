package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.PeerMessage.Heartbeat;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class HeldLeasesTest {
  private static final long SECOND = 1_000_000_000L;
  private static final DispatchLease LEASE =
      new DispatchLease(UpstreamId.of("u"), HostId.of("h"), Epoch.of(1, 1), Duration.ofSeconds(1));

  private final HeldLeases held = new HeldLeases();

  private boolean accept(long term, long sequence, long answered, long now, DispatchLease... l) {
    var digest = new Digest(ImmutableMap.of());
    return held.accept(
        new Heartbeat(CellId.of("c"), term, sequence, answered, digest, ImmutableList.copyOf(l)),
        now);
  }

  /** Guards against a delayed heartbeat that extends a lease. */
  @Test
  void leaseCountsFromAnswerReferencedByHeartbeat() {
    accept(1, 1, 0, SECOND);
    accept(1, 2, 1, SECOND + SECOND * 9 / 10, LEASE);
    assertThat(held.currentLeases(SECOND + SECOND * 9 / 10)).hasSize(1);
    assertThat(held.currentLeases(2 * SECOND)).isEmpty();
  }

  /**
   * Guards against reporting a lease as revoked that has expired or is still listed, and may be
   * continued.
   */
  @Test
  void onlyLeaseNoLongerListedIsRevoked() {
    accept(1, 1, 0, SECOND);
    accept(1, 2, 1, SECOND, LEASE);
    assertThat(held.currentLeases(3 * SECOND)).isEmpty();
    assertThat(held.revoked()).isEmpty();
    accept(1, 3, 2, 3 * SECOND);
    assertThat(held.revoked()).containsExactly(LEASE.upstream(), LEASE.epoch());
    accept(1, 2, 1, 3 * SECOND, LEASE);
    assertThat(held.revoked()).hasSize(1);
    accept(1, 4, 3, 3 * SECOND, LEASE);
    assertThat(held.revoked()).isEmpty();
  }

  /**
   * Guards against accepting leases from heartbeats that arrive out of order or refer to an answer
   * of an earlier run.
   */
  @Test
  void staleHeartbeatsAndUnknownAnswersGiveNoLease() {
    accept(1, 5, 3, SECOND, LEASE);
    assertThat(held.currentLeases(SECOND)).isEmpty();
    assertThat(accept(1, 4, 5, SECOND, LEASE)).isFalse();
    assertThat(held.currentLeases(SECOND)).isEmpty();
  }

  /** Guards against a gap in dispatching during a planned change of the coordinator. */
  @Test
  void leasesOfFormerCoordinatorExpire() {
    accept(1, 1, 0, SECOND);
    accept(1, 2, 1, SECOND, LEASE);
    accept(2, 1, 0, SECOND);
    assertThat(held.currentLeases(SECOND)).hasSize(1);
    accept(2, 2, 1, SECOND);
    assertThat(held.currentLeases(SECOND)).isEmpty();
  }
}
