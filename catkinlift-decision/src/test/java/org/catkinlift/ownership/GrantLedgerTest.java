package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class GrantLedgerTest {
  private static final long SECOND = 1_000_000_000L;
  private static final Duration LEASE = Duration.ofSeconds(1);
  private static final HostId HOST = HostId.of("h");

  private static final UpstreamId UPSTREAM = UpstreamId.of("u");
  private static final ServiceName SERVICE = ServiceName.of("s");

  private final GrantLedger ledger = new GrantLedger(OwnershipTimings.defaults(), 0);

  private void receiveReading(long call, String instance, long now) {
    ledger.onReply(call, new Reply.Probed(instance, now / 1_000_000, Epoch.NONE), now);
  }

  private static GrantContent grant(ServiceName service, Integer... units) {
    return new GrantContent(
        service,
        UPSTREAM,
        HOST,
        ImmutableSet.copyOf(units),
        ImmutableSortedMap.of(),
        ImmutableSortedMap.of());
  }

  /**
   * Guards against a lease that outlasts the coordinator's authority when measured by the
   * upstream's clock.
   */
  @Test
  void leaseEndsWithinAuthorityIncludingClockMargin() {
    receiveReading(1, "i", SECOND);
    Duration lease = ledger.lease(LEASE, SECOND + SECOND / 2, SECOND);
    assertThat(lease.toMillis()).isEqualTo(495);
    assertThat(ledger.lease(LEASE, SECOND, SECOND)).isEqualTo(Duration.ZERO);
  }

  /** Guards against moving a slot while its previous owner may still hold it. */
  @Test
  void unitIsHeldUntilLeaseHasCertainlyExpired() {
    receiveReading(1, "i", SECOND);
    ledger.onGranted(grant(SERVICE, 7), Epoch.of(1, 1), LEASE);
    assertThat(ledger.mayHold(SERVICE, 7, 2 * SECOND)).isTrue();
    assertThat(ledger.mayHold(SERVICE, 7, 2 * SECOND + SECOND / 50)).isFalse();
  }

  /**
   * Guards against waiting for the grants of a terminated process, and against delayed answers from
   * it.
   */
  @Test
  void newInstanceHoldsNothingAndLateAnswerOfOldInstanceIsIgnored() {
    receiveReading(1, "i", SECOND);
    ledger.onGranted(grant(SERVICE, 7), Epoch.of(1, 1), Duration.ofMinutes(10));
    receiveReading(5, "j", 2 * SECOND);
    assertThat(ledger.mayHold(SERVICE, 7, 2 * SECOND)).isFalse();
    receiveReading(3, "i", 3 * SECOND);
    assertThat(ledger.reading().orElseThrow().instance()).isEqualTo("j");
  }

  /**
   * Guards against a coordinator that treats all upstreams as lost after a pause in which it sent
   * no requests.
   */
  @Test
  void upstreamIsLostOnlyAfterUnansweredRequests() {
    receiveReading(1, "i", SECOND);
    assertThat(ledger.isLost(9 * SECOND)).isFalse();
    for (int i = 0; i < 4; i++) {
      ledger.onRequestSent(2 + i);
    }
    assertThat(ledger.isLost(9 * SECOND)).isTrue();
  }

  /**
   * Guards against the late answer to a release request that ends the wait for a unit which has
   * been granted again since.
   */
  @Test
  void releaseEndsOnlyGrantsSentBeforeIt() {
    receiveReading(1, "i", SECOND);
    ledger.onGranted(grant(SERVICE, 7, 8), Epoch.of(1, 1), LEASE);
    ledger.onGranted(grant(SERVICE, 7), Epoch.of(1, 3), LEASE);
    ledger.onReleased(SERVICE, ImmutableSet.of(7, 8), Epoch.of(1, 2));
    assertThat(ledger.mayHold(SERVICE, 7, SECOND)).isTrue();
    assertThat(ledger.mayHold(SERVICE, 8, SECOND)).isFalse();
  }

  /**
   * Guards against forgetting the grants of a restarted upstream when a late answer of its earlier
   * instance arrives, which had overtaken an earlier request.
   */
  @Test
  void lateAnswerOfEarlierInstanceEndsNoGrantOfLaterOne() {
    receiveReading(1, "i", SECOND);
    ledger.onRequestSent(3);
    ledger.onReleaseSent(5);
    receiveReading(3, "j", SECOND);
    ledger.onRequestSent(6);
    ledger.onGranted(grant(SERVICE, 7), Epoch.of(1, 1), LEASE);
    receiveReading(5, "i", SECOND);
    assertThat(ledger.mayHold(SERVICE, 7, SECOND)).isTrue();
    assertThat(ledger.reading().orElseThrow().instance()).isEqualTo("j");
  }

  /**
   * Guards against an upstream that moved to another service, whose release of a slot ended the
   * wait for the slot with the same number of its former service.
   */
  @Test
  void releaseEndsNoGrantOfAnotherService() {
    receiveReading(1, "i", SECOND);
    ledger.onGranted(grant(SERVICE, 7), Epoch.of(1, 1), LEASE);
    ledger.onReleased(ServiceName.of("other"), ImmutableSet.of(7), Epoch.of(1, 2));
    assertThat(ledger.mayHold(SERVICE, 7, SECOND)).isTrue();
  }

  /**
   * Guards against waiting for a long grant that a shorter one has replaced, and against not
   * waiting for it while the shorter one is not confirmed.
   */
  @Test
  void onlyConfirmedGrantShortensEarlierOnes() {
    receiveReading(1, "i", SECOND);
    ledger.onGranted(grant(SERVICE, 7, 8), Epoch.of(1, 1), Duration.ofMinutes(10));
    ledger.onGranted(grant(SERVICE, 7), Epoch.of(1, 2), LEASE);
    ledger.onReply(2, new Reply.Granted("i", 1000, Epoch.of(1, 1)), SECOND);
    assertThat(ledger.mayHold(SERVICE, 7, 300 * SECOND)).isTrue();
    ledger.onReply(3, new Reply.Granted("i", 1000, Epoch.of(1, 2)), SECOND);
    assertThat(ledger.mayHold(SERVICE, 7, 2 * SECOND)).isTrue();
    assertThat(ledger.mayHold(SERVICE, 8, 2 * SECOND)).isTrue();
    assertThat(ledger.latestGrantEnd()).isLessThan(3 * SECOND);
  }

  /** Guards against taking the first answer of an upstream for a sign that it was restarted. */
  @Test
  void firstReadingEndsNoGrantOfAnEarlierRun() {
    ledger.onGrantedByEarlierRun(SERVICE, 7, 300 * SECOND);
    receiveReading(1, "i", SECOND);
    assertThat(ledger.mayHold(SERVICE, 7, 300 * SECOND)).isTrue();
    assertThat(ledger.latestGrantEnd()).isEqualTo(300 * SECOND);
    receiveReading(2, "j", 2 * SECOND);
    assertThat(ledger.mayHold(SERVICE, 7, 2 * SECOND)).isFalse();
  }

  /** Guards against waiting for a grant of an earlier run that a confirmed one has replaced. */
  @Test
  void confirmedGrantHasReplacedThoseOfAnEarlierRun() {
    receiveReading(1, "i", SECOND);
    ledger.onGranted(grant(SERVICE, 8), Epoch.of(2, 1), LEASE);
    ledger.onReply(2, new Reply.Granted("i", 1000, Epoch.of(2, 1)), SECOND);
    ledger.onGrantedByEarlierRun(SERVICE, 7, 300 * SECOND);
    assertThat(ledger.mayHold(SERVICE, 7, SECOND)).isFalse();
  }
}
