package org.catkinlift.shares;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

/** Guards against shares whose sum exceeds the bounded amount, or that outlive their reason. */
final class ShareLedgerTest {
  private static final String KEY = "amount";
  private static final HostId ONE = HostId.of("host-1");
  private static final HostId OTHER = HostId.of("host-2");
  private static final ShareDemand DEMAND = new ShareDemand(2, 1, 1, 100, 10);
  private static final long AFTER_EARLIER_LEASES = Duration.ofSeconds(8).toNanos();
  private static final long ROUND = Duration.ofMillis(250).toNanos();

  private final ShareLedger<String> ledger = new ShareLedger<>(7, 0);
  private final Map<HostId, Share> held = new HashMap<>();

  private ShareGrant<String> report(HostId host, ShareState state, long nowNanos) {
    return ledger.reportReceived(
        host, new ShareReport<>(state, ImmutableMap.of(KEY, DEMAND), ImmutableMap.of()), nowNanos);
  }

  private ShareState apply(HostId host, ShareGrant<String> grant) {
    ShareOffer offer = grant.offers().get(KEY);
    if (offer != null) {
      held.put(host, offer.share());
    }
    return grant.state();
  }

  @Test
  void sharesNeverExceedTheWhole() {
    ShareState one = ShareState.NONE;
    ShareState other = ShareState.NONE;
    for (int round = 0; round < 100; round++) {
      long now = AFTER_EARLIER_LEASES + round * ROUND;
      one = apply(ONE, report(ONE, one, now));
      other = apply(OTHER, report(OTHER, other, now));
      Share a = held.getOrDefault(ONE, Share.NONE);
      Share b = held.getOrDefault(OTHER, Share.NONE);

      assertThat(a.rate() + b.rate()).isAtMost(1);
      assertThat(a.burst() + b.burst()).isAtMost(1);
    }
    assertThat(held.get(ONE).rate()).isGreaterThan(0);
    assertThat(held.get(OTHER).rate()).isGreaterThan(0);
  }

  @Test
  void lostAnswerIsRepeated() {
    ShareGrant<String> lost = report(ONE, ShareState.NONE, AFTER_EARLIER_LEASES);
    ShareGrant<String> next = report(ONE, ShareState.NONE, AFTER_EARLIER_LEASES + ROUND);

    assertThat(next).isEqualTo(lost);
  }

  @Test
  void newCoordinatorLeasesNothingWhileEarlierLeasesMayLast() {
    ShareGrant<String> grant = report(ONE, ShareState.NONE, ROUND);

    assertThat(grant.offers().values().stream().allMatch(offer -> offer.share().isNone())).isTrue();
  }

  @Test
  void newCoordinatorTakesOverReportedShares() {
    var share = new Share(0.25, 0.125);
    ShareGrant<String> question = report(ONE, new ShareState(6, 9), ROUND);
    ShareGrant<String> grant =
        ledger.reportReceived(
            ONE,
            new ShareReport<>(new ShareState(6, 9), ImmutableMap.of(), ImmutableMap.of(KEY, share)),
            2 * ROUND);

    assertThat(question.lease()).isEqualTo(Duration.ZERO);
    assertThat(grant.offers()).containsExactly(KEY, new ShareOffer(share, 0));
  }

  @Test
  void shareOfSilentHostReturnsWithItsLease() {
    report(ONE, ShareState.NONE, AFTER_EARLIER_LEASES);
    ledger.reportReceived(OTHER, ShareReport.empty(), AFTER_EARLIER_LEASES + ROUND);
    int before = ledger.holders();
    long afterLease = AFTER_EARLIER_LEASES + Duration.ofSeconds(8).toNanos();
    ledger.reportReceived(OTHER, ShareReport.empty(), afterLease);

    assertThat(before).isEqualTo(1);
    assertThat(ledger.holders()).isEqualTo(0);
  }

  @Test
  void hostWithoutDemandGetsNoAnswer() {
    assertThat(ledger.reportReceived(ONE, ShareReport.empty(), AFTER_EARLIER_LEASES).isNone())
        .isTrue();
  }
}
