package org.catkinlift.quotas;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.catkinlift.model.TenantName;
import org.catkinlift.shares.Share;
import org.catkinlift.shares.ShareDemand;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareOffer;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.shares.ShareState;
import org.catkinlift.tenants.Quota;
import org.catkinlift.tenants.Tenant;

/**
 * Decides whether requests are within the quotas of their tenants, by the shares of these quotas
 * that the coordinator leased to this host. Confined to one thread.
 *
 * <p>A share ends with its lease, also if the coordinator cannot be reached. Without a share a host
 * has a small reserve for a tenant.
 */
public final class QuotaLimiter {
  /** The number of hosts that is assumed until it is known; above that of any deployment. */
  private static final int ASSUMED_HOSTS = 100;

  /** Long enough for the reserve to be full again when the tenant returns. */
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(1);

  private final long seed;
  private final Map<TenantName, QuotaBucket> buckets = new HashMap<>();

  /** Shares of tenants without requests on this host. */
  private final Map<TenantName, Share> unusedShares = new HashMap<>();

  private ShareState state = ShareState.NONE;
  private long leaseEndNanos;
  private long latestIssuer;
  private boolean sharesExpired;
  private int hosts = ASSUMED_HOSTS;
  private boolean isStarted;
  private long startNanos;

  /**
   * Creates a limiter without shares and with empty reserves.
   *
   * @param seed decides for which tenants this host has a reserve; differs between hosts
   */
  public QuotaLimiter(long seed) {
    this.seed = seed;
  }

  /**
   * Decides about a request and counts it as demand.
   *
   * @param tenant the tenant of the request
   * @param nowNanos the current time
   * @return the decision
   */
  public QuotaDecision acquire(Tenant tenant, long nowNanos) {
    if (tenant.quota().isEmpty()) {
      return new QuotaDecision.Granted();
    }
    QuotaBucket bucket = bucket(tenant.name(), tenant.quota().get(), nowNanos);
    if (bucket.tryAcquire(nowNanos)) {
      return new QuotaDecision.Granted();
    }
    return bucket.needsShare()
        ? new QuotaDecision.Pending(QuotaBucket.SHARE_DELAY)
        : new QuotaDecision.Exceeded(bucket.retryAfter());
  }

  /**
   * Decides again about a request that waited for a share.
   *
   * @param tenant the tenant of the request
   * @param nowNanos the current time
   * @return the decision, never {@link QuotaDecision.Pending}
   */
  public QuotaDecision acquireAgain(Tenant tenant, long nowNanos) {
    if (tenant.quota().isEmpty()) {
      return new QuotaDecision.Granted();
    }
    QuotaBucket bucket = bucket(tenant.name(), tenant.quota().get(), nowNanos);
    return bucket.tryAcquireAgain()
        ? new QuotaDecision.Granted()
        : new QuotaDecision.Exceeded(bucket.retryAfter());
  }

  private QuotaBucket bucket(TenantName name, Quota quota, long nowNanos) {
    endExpiredShares(nowNanos);
    QuotaBucket bucket = buckets.computeIfAbsent(name, n -> newBucket(n, quota, nowNanos));
    bucket.update(quota, hosts, nowNanos);
    return bucket;
  }

  private QuotaBucket newBucket(TenantName name, Quota quota, long nowNanos) {
    double draw = new SplittableRandom(seed ^ name.value().hashCode()).nextDouble();
    if (!isStarted) {
      isStarted = true;
      startNanos = nowNanos;
    }
    var bucket = new QuotaBucket(quota, hosts, draw, nowNanos - startNanos, nowNanos);
    Share share = unusedShares.remove(name);
    if (share != null) {
      bucket.setShare(share, 0, nowNanos);
    }
    return bucket;
  }

  /**
   * Sets the number of hosts, over which the reserve of a tenant is divided.
   *
   * @param count the number, including this host
   */
  public void setHosts(int count) {
    hosts = count;
  }

  /**
   * Applies a grant of the coordinator.
   *
   * @param shares the grant
   * @param nowNanos the current time
   */
  public void apply(QuotaShares shares, long nowNanos) {
    ShareGrant<TenantName> grant = shares.grant();
    endExpiredShares(nowNanos);
    if (grant.isNone()) {
      return;
    }
    latestIssuer = grant.state().issuer();
    boolean belongsToState = latestIssuer == state.issuer() || grant.replacesAll();
    if (!belongsToState || grant.lease().isZero()) {
      return;
    }
    long endNanos = shares.reportedNanos() + grant.lease().toNanos();
    if (endNanos - nowNanos <= 0) {
      return;
    }
    if (!grant.state().equals(state)) {
      applyChanges(grant, nowNanos);
    }
    leaseEndNanos = endNanos;
  }

  private void applyChanges(ShareGrant<TenantName> grant, long nowNanos) {
    if (grant.replacesAll()) {
      unusedShares.clear();
      buckets.forEach(
          (name, bucket) -> {
            if (!grant.offers().containsKey(name)) {
              bucket.setShare(Share.NONE, 0, nowNanos);
            }
          });
    }
    state = grant.state();
    grant.offers().forEach((name, offer) -> applyOffer(name, offer, nowNanos));
  }

  private void applyOffer(TenantName name, ShareOffer offer, long nowNanos) {
    QuotaBucket bucket = buckets.get(name);
    if (bucket == null) {
      unusedShares.put(name, offer.share());
    } else {
      bucket.setShare(offer.share(), offer.tokens(), nowNanos);
    }
  }

  /**
   * Ends all shares, because the host was suspended and the monotonic clock may have stood still.
   *
   * @param nowNanos the current time
   */
  public void endShares(long nowNanos) {
    state = ShareState.NONE;
    unusedShares.clear();
    buckets.values().forEach(bucket -> bucket.setShare(Share.NONE, 0, nowNanos));
  }

  private void endExpiredShares(long nowNanos) {
    if (!state.equals(ShareState.NONE) && nowNanos - leaseEndNanos >= 0) {
      sharesExpired = buckets.values().stream().anyMatch(QuotaBucket::hasShare);
      endShares(leaseEndNanos);
    }
  }

  /**
   * Returns whether shares have ended since the last call because no coordinator renewed them.
   *
   * @return true if this host had shares and lost them
   */
  public boolean takeSharesExpired() {
    boolean taken = sharesExpired;
    sharesExpired = false;
    return taken;
  }

  /**
   * Returns the state of the shares and the demand since the last call.
   *
   * @param nowNanos the current time
   * @return the part of the next load report about quotas
   */
  public ShareReport<TenantName> takeReport(long nowNanos) {
    if (buckets.isEmpty() && state.equals(ShareState.NONE)) {
      return ShareReport.empty();
    }
    endExpiredShares(nowNanos);
    ImmutableMap.Builder<TenantName, ShareDemand> demand = ImmutableMap.builder();
    ImmutableMap.Builder<TenantName, Share> held = ImmutableMap.builder();
    if (latestIssuer != state.issuer()) {
      held.putAll(unusedShares);
    }
    buckets.forEach(
        (name, bucket) -> {
          bucket.takeDemand().ifPresent(taken -> demand.put(name, taken));
          if (bucket.hasShare() && latestIssuer != state.issuer()) {
            held.put(name, bucket.share());
          }
        });
    buckets.values().removeIf(bucket -> isIdle(bucket, nowNanos));
    ImmutableMap<TenantName, Share> heldOfOthers = held.buildOrThrow();
    boolean holdsNoneOfOthers = latestIssuer != state.issuer() && heldOfOthers.isEmpty();
    return new ShareReport<>(
        holdsNoneOfOthers ? ShareState.NONE : state, demand.buildOrThrow(), heldOfOthers);
  }

  private static boolean isIdle(QuotaBucket bucket, long nowNanos) {
    return !bucket.hasShare() && nowNanos - bucket.lastDemandNanos() > IDLE_TIMEOUT.toNanos();
  }
}
