package org.catkinlift.shares;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.HostId;

/**
 * Divides one bounded amount over hosts by their demand. The sum of the fractions that hosts may
 * hold never exceeds 1; a share that is lowered counts until the host has confirmed the change.
 *
 * <p>A part of the rate is not leased. It fills a common pool of tokens, which hosts with demand
 * get in addition, so that a host without a share does not wait until its own bucket fills.
 */
final class SharePool {
  /** The part of the rate that is leased; the rest fills the common pool of tokens. */
  private static final double LEASED_RATE = 0.9;

  /** The part of the rate that is divided by demand; the rest is divided equally. */
  private static final double RATE_BY_DEMAND = 0.85;

  /** The part of the burst that is leased; the rest is room for the common tokens. */
  private static final double LEASED_BURST = 0.85;

  /** The part of the leased burst that is divided by demand; the rest is divided equally. */
  private static final double BURST_BY_DEMAND = 0.5;

  /** The part of the common tokens that one host gets at most in one grant. */
  private static final double MAX_TOKENS = 0.5;

  /** Shares that differ less than this part from their target are left as they are. */
  private static final double TOLERANCE = 0.15;

  private static final Duration DEMAND_TIME_CONSTANT = Duration.ofSeconds(2);

  /** Callers keep to their hosts, so a host keeps a share for a while without requests. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final Map<HostId, Holder> holders = new HashMap<>();
  private double totalWeight;
  private long weighedNanos;
  private double heldRate;
  private double heldBurst;
  private Share reportedAtStart = Share.NONE;
  private double tokens;
  private double refillPerSecond;

  /** A host's share, and what it held before until it has confirmed the share. */
  private static final class Holder {
    private Share confirmed = Share.NONE;
    private Share issued = Share.NONE;
    private double weight;
    private long weighedNanos;
    private long lastDemandNanos;

    Share mayHold() {
      return confirmed.max(issued);
    }
  }

  SharePool(double tokens, long nowNanos) {
    this.tokens = tokens;
    this.weighedNanos = nowNanos;
  }

  /** Takes over a share that an earlier coordinator issued. */
  void takeOver(HostId host, Share share, long nowNanos) {
    Holder holder = holder(host, nowNanos);
    if (holder.mayHold().isNone()) {
      setConfirmed(holder, share);
      reportedAtStart =
          new Share(
              Math.min(1, reportedAtStart.rate() + share.rate()),
              Math.min(1, reportedAtStart.burst() + share.burst()));
    }
  }

  /** Returns the sum of the shares that were taken over. */
  Share reportedAtStart() {
    return reportedAtStart;
  }

  /**
   * Records demand.
   *
   * @param unknown what hosts that have not reported yet may hold
   */
  void demanded(HostId host, ShareDemand demand, Share unknown, long nowNanos) {
    advance(unknown, nowNanos);
    refillPerSecond = demand.refillPerSecond();
    Holder holder = holder(host, nowNanos);
    double weight = demand.amount() / seconds(DEMAND_TIME_CONSTANT.toNanos());
    holder.weight = decayed(holder.weight, holder.weighedNanos, nowNanos) + weight;
    holder.weighedNanos = nowNanos;
    holder.lastDemandNanos = nowNanos;
    totalWeight += weight;
  }

  /**
   * Returns the change of a host's share, or nothing if it stays.
   *
   * @param demand the demand in the report that is answered
   * @param unknown what hosts that have not reported yet may hold
   */
  Optional<ShareOffer> offer(HostId host, double demand, Share unknown, long nowNanos) {
    Holder holder = holders.get(host);
    if (holder == null) {
      return Optional.empty();
    }
    advance(unknown, nowNanos);
    Share next = limit(holder, target(holder, nowNanos), unknown);
    if (isClose(holder.issued, next)) {
      next = holder.issued;
    }
    double added = Math.min(Math.min(tokens * MAX_TOKENS, demand), next.burst());
    if (next.equals(holder.issued) && added == 0) {
      return Optional.empty();
    }
    tokens -= added;
    setIssued(holder, next);
    return Optional.of(new ShareOffer(next, added));
  }

  /** Returns the share that was issued to a host last. */
  Share issued(HostId host) {
    Holder holder = holders.get(host);
    return holder == null ? Share.NONE : holder.issued;
  }

  /**
   * Records that a host has applied the share that was issued last.
   *
   * @return whether it still has a share
   */
  boolean confirmed(HostId host) {
    Holder holder = holders.get(host);
    if (holder == null) {
      return false;
    }
    setConfirmed(holder, holder.issued);
    boolean isEnded = holder.issued.isNone() && isLeaving(holder, weighedNanos);
    if (isEnded) {
      remove(host);
    }
    return !isEnded;
  }

  /** Ends the share of a host, because its lease has expired. */
  void remove(HostId host) {
    Holder holder = holders.remove(host);
    if (holder != null) {
      heldRate -= holder.mayHold().rate();
      heldBurst -= holder.mayHold().burst();
      totalWeight -= decayed(holder.weight, holder.weighedNanos, weighedNanos);
    }
  }

  /** Returns whether the pool can be discarded, and a new one be created with all tokens. */
  boolean isIdle(long nowNanos) {
    advance(Share.NONE, nowNanos);
    return holders.isEmpty() && tokens >= 1;
  }

  private Share target(Holder holder, long nowNanos) {
    if (isLeaving(holder, nowNanos)) {
      return Share.NONE;
    }
    double weight = decayed(holder.weight, holder.weighedNanos, nowNanos);
    double byDemand = totalWeight > 0 ? Math.min(1, Math.max(0, weight / totalWeight)) : 0;
    double equal = 1.0 / holders.size();
    return new Share(
        LEASED_RATE * (RATE_BY_DEMAND * byDemand + (1 - RATE_BY_DEMAND) * equal),
        LEASED_BURST * (BURST_BY_DEMAND * byDemand + (1 - BURST_BY_DEMAND) * equal));
  }

  private static boolean isLeaving(Holder holder, long nowNanos) {
    return nowNanos - holder.lastDemandNanos > IDLE_TIMEOUT.toNanos();
  }

  private Share limit(Holder holder, Share target, Share unknown) {
    double freeRate = 1 - unknown.rate() - heldRate + holder.mayHold().rate();
    double freeBurst = 1 - unknown.burst() - heldBurst + holder.mayHold().burst();
    return new Share(
        Math.max(0, Math.min(target.rate(), freeRate)),
        Math.max(0, Math.min(target.burst(), freeBurst)));
  }

  private static boolean isClose(Share issued, Share next) {
    return !next.isNone()
        && Math.abs(issued.rate() - next.rate()) <= TOLERANCE * issued.rate()
        && Math.abs(issued.burst() - next.burst()) <= TOLERANCE * issued.burst();
  }

  /** Decays the weights and fills the common tokens with the rate that nobody holds. */
  private void advance(Share unknown, long nowNanos) {
    double freeRate = Math.max(0, 1 - unknown.rate() - heldRate);
    double freeBurst = Math.max(0, 1 - unknown.burst() - heldBurst);
    double filled = freeRate * refillPerSecond * seconds(nowNanos - weighedNanos);
    tokens = Math.min(tokens + filled, freeBurst);
    totalWeight = decayed(totalWeight, weighedNanos, nowNanos);
    weighedNanos = nowNanos;
  }

  private Holder holder(HostId host, long nowNanos) {
    return holders.computeIfAbsent(
        host,
        h -> {
          var holder = new Holder();
          holder.weighedNanos = nowNanos;
          holder.lastDemandNanos = nowNanos;
          return holder;
        });
  }

  private void setIssued(Holder holder, Share share) {
    Share before = holder.mayHold();
    holder.issued = share;
    held(before, holder.mayHold());
  }

  private void setConfirmed(Holder holder, Share share) {
    Share before = holder.mayHold();
    holder.confirmed = share;
    held(before, holder.mayHold());
  }

  private void held(Share before, Share after) {
    heldRate += after.rate() - before.rate();
    heldBurst += after.burst() - before.burst();
  }

  private static double decayed(double weight, long sinceNanos, long nowNanos) {
    return weight * Math.exp((sinceNanos - nowNanos) / (double) DEMAND_TIME_CONSTANT.toNanos());
  }

  private static double seconds(long nanos) {
    return nanos / NANOS_PER_SECOND;
  }
}
