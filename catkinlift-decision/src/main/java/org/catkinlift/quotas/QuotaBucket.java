package org.catkinlift.quotas;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.shares.Share;
import org.catkinlift.shares.ShareDemand;
import org.catkinlift.tenants.Quota;

/** The requests of one tenant that a host may still accept. */
final class QuotaBucket {
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  /**
   * How soon a host without a share gets one. Its demand reaches the control thread within 200 ms
   * and the coordinator with the next report, within 250 ms; the rest is for delays of both.
   */
  static final Duration SHARE_DELAY = Duration.ofMillis(700);

  private final double draw;
  private Quota quota;
  private int hosts;
  private Share share = Share.NONE;
  private boolean hasShare;
  private double level;
  private long settledNanos;
  private long lastDemandNanos;
  private int asked;
  private int spent;

  /**
   * Creates a bucket without a share.
   *
   * @param quota the quota of the tenant
   * @param hosts the number of hosts
   * @param draw a number from 0 to 1 that the host has for the tenant
   * @param idleNanos the time without requests of the tenant before now
   * @param nowNanos the current time
   */
  QuotaBucket(Quota quota, int hosts, double draw, long idleNanos, long nowNanos) {
    this.quota = quota;
    this.hosts = hosts;
    this.draw = draw;
    this.settledNanos = nowNanos - Math.min(idleNanos, QuotaPolicy.WINDOW.toNanos());
    this.lastDemandNanos = nowNanos;
  }

  /** Fills the bucket up to now, and then applies a new quota or number of hosts. */
  void update(Quota newQuota, int newHosts, long nowNanos) {
    settle(nowNanos);
    quota = newQuota;
    hosts = newHosts;
    level = Math.min(level, capacity());
  }

  boolean tryAcquire(long nowNanos) {
    asked++;
    lastDemandNanos = nowNanos;
    return tryAcquireAgain();
  }

  /** Acquires for a request that was counted as demand before. */
  boolean tryAcquireAgain() {
    if (level < 1) {
      return false;
    }
    level--;
    spent++;
    return true;
  }

  /** Returns whether only the answer to a report can make room. */
  boolean needsShare() {
    return !hasShare || share.rate() <= 0;
  }

  /** Returns the time until the bucket has room for a request. */
  Duration retryAfter() {
    double rate = rate();
    if (rate <= 0 || capacity() < 1) {
      return SHARE_DELAY;
    }
    long nanos = (long) Math.ceil((1 - level) / rate * NANOS_PER_SECOND);
    return Duration.ofNanos(Math.min(nanos, QuotaPolicy.WINDOW.toNanos()));
  }

  /** Replaces the share; tokens over its capacity are lost. */
  void setShare(Share newShare, double tokens, long nowNanos) {
    settle(nowNanos);
    share = newShare;
    hasShare = share.rate() > 0 || share.burst() > 0;
    level = Math.min(level + tokens * QuotaPolicy.allowance(quota), capacity());
  }

  Share share() {
    return share;
  }

  boolean hasShare() {
    return hasShare;
  }

  long lastDemandNanos() {
    return lastDemandNanos;
  }

  /** Returns the demand since the last call; empty if there was none. */
  Optional<ShareDemand> takeDemand() {
    if (asked == 0) {
      return Optional.empty();
    }
    double shortage = hasShare ? Math.max(0, capacity() - level) : asked;
    var demand =
        new ShareDemand(
            asked, spent, shortage, QuotaPolicy.allowance(quota), quota.requestsPerSecond());
    asked = 0;
    spent = 0;
    return Optional.of(demand);
  }

  private void settle(long nowNanos) {
    long elapsedNanos = Math.max(0, nowNanos - settledNanos);
    level = Math.min(level + elapsedNanos / NANOS_PER_SECOND * rate(), capacity());
    settledNanos += elapsedNanos;
  }

  private double capacity() {
    return hasShare
        ? share.burst() * QuotaPolicy.allowance(quota)
        : QuotaPolicy.reserve(quota, hosts, draw);
  }

  private double rate() {
    return hasShare
        ? share.rate() * quota.requestsPerSecond()
        : capacity() / QuotaPolicy.WINDOW.toSeconds();
  }
}
