package org.catkinlift.quotas;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.TenantName;
import org.catkinlift.shares.Share;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareOffer;
import org.catkinlift.shares.ShareState;
import org.catkinlift.tenants.Quota;
import org.catkinlift.tenants.Tenant;
import org.junit.jupiter.api.Test;

/** Guards against requests of a host beyond its share, and against shares after their lease. */
final class QuotaLimiterTest {
  private static final Quota QUOTA = new Quota(10, 10);
  private static final Duration LEASE = Duration.ofSeconds(7);

  private final QuotaLimiter limiter = new QuotaLimiter(1);

  private static Tenant tenant(Quota quota) {
    return new Tenant(TenantName.of("tenant-1"), OptionalInt.empty(), Optional.of(quota));
  }

  private int granted(Quota quota, int requests, long nowNanos) {
    int granted = 0;
    for (int i = 0; i < requests; i++) {
      if (limiter.acquire(tenant(quota), nowNanos) instanceof QuotaDecision.Granted) {
        granted++;
      }
    }
    return granted;
  }

  private void lease(Share share, double tokens, long nowNanos) {
    var grant =
        new ShareGrant<>(
            new ShareState(3, 1),
            LEASE,
            true,
            ImmutableMap.of(TenantName.of("tenant-1"), new ShareOffer(share, tokens)));
    limiter.apply(new QuotaShares(grant, nowNanos), nowNanos);
  }

  @Test
  void tenantWithoutQuotaIsNotLimited() {
    var unlimited = new Tenant(TenantName.of("u"), OptionalInt.empty(), Optional.empty());

    assertThat(limiter.acquire(unlimited, 0)).isEqualTo(new QuotaDecision.Granted());
    assertThat(limiter.takeReport(0).isEmpty()).isTrue();
  }

  @Test
  void startsWithoutTokens() {
    assertThat(granted(QUOTA, 10, 0)).isEqualTo(0);
  }

  @Test
  void statesWhenThereIsRoom() {
    granted(QUOTA, 1, 0);
    lease(new Share(0.5, 0.5), 0, 0);

    var decision = limiter.acquire(tenant(QUOTA), 0);

    assertThat(decision).isEqualTo(new QuotaDecision.Exceeded(Duration.ofMillis(200)));
    assertThat(granted(QUOTA, 10, Duration.ofMillis(200).toNanos())).isEqualTo(1);
  }

  @Test
  void shareEndsWithItsLease() {
    granted(QUOTA, 1, 0);
    lease(new Share(0.5, 0.5), 0, 0);

    int lastInLease = granted(QUOTA, 100, LEASE.toNanos() - 1);
    int afterLease = granted(QUOTA, 100, LEASE.plusSeconds(1).toNanos());

    assertThat(lastInLease).isGreaterThan(30);
    assertThat(afterLease).isAtMost(1);
    assertThat(limiter.takeSharesExpired()).isTrue();
  }

  @Test
  void loweredLimitIsBindingAtOnce() {
    granted(QUOTA, 1, 0);
    lease(new Share(0.5, 0.5), 0.5, 0);

    assertThat(granted(new Quota(0.1, 1), 100, 1)).isAtMost(10);
  }

  @Test
  void suspensionEndsShares() {
    granted(QUOTA, 1, 0);
    lease(new Share(0.5, 0.5), 0.5, 0);
    limiter.endShares(1);

    assertThat(granted(QUOTA, 100, 1)).isAtMost(1);
    assertThat(limiter.takeReport(1).state()).isEqualTo(ShareState.NONE);
  }

  /** Each host would refuse the first requests of a tenant that is far below its quota. */
  @Test
  void requestWaitsForTheFirstShare() {
    assertThat(limiter.acquire(tenant(QUOTA), 0)).isInstanceOf(QuotaDecision.Pending.class);
    assertThat(limiter.acquireAgain(tenant(QUOTA), 1)).isInstanceOf(QuotaDecision.Exceeded.class);

    lease(new Share(0.5, 0.5), 0.1, 2);

    assertThat(limiter.acquireAgain(tenant(QUOTA), 2)).isEqualTo(new QuotaDecision.Granted());
  }

  /** The demand of a request that waits would be stated twice. */
  @Test
  void waitingRequestCountsOnceAsDemand() {
    QuotaDecision unused = limiter.acquire(tenant(QUOTA), 0);
    QuotaDecision unusedToo = limiter.acquireAgain(tenant(QUOTA), 1);

    assertThat(limiter.takeReport(2).demand().get(TenantName.of("tenant-1")).asked()).isEqualTo(1);
  }
}
