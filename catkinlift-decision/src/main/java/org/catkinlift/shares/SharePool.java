package org.catkinlift.shares;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.HostId;

/**
 * Divides one bounded amount over hosts by their demand.
 *
 * <p>What was spent in the last window, plus the buckets of all hosts if they were full, plus what
 * flows into them in the rest of the window, never exceeds the allowance. A bucket, a rate or
 * tokens are added only while this holds; a share that is lowered counts until the host has
 * confirmed the change. Hosts that do not report count with all that they may have spent since.
 */
final class SharePool {
  private static final Duration WINDOW = Duration.ofSeconds(5);
  private static final Duration DEMAND_TIME_CONSTANT = Duration.ofSeconds(2);

  /** The part of the rate that is leased if the demand exceeds it. */
  private static final double MAX_LEASED_RATE = 0.9;

  /** The part of the free allowance that is leased; the rest is for hosts without a share. */
  private static final double LEASED_ALLOWANCE = 0.8;

  /** The part of the leased allowance that is divided by demand; the rest is divided equally. */
  private static final double BURST_BY_DEMAND = 0.5;

  /**
   * Demand in the last seconds below which a host has no part of the rate. Its small bucket would
   * be full most of the time, and the rate would be lost.
   */
  private static final double MIN_UNITS_FOR_RATE = 2;

  /** A share is changed only if it differs from its target by more than this part. */
  private static final double MIN_RELATIVE_CHANGE = 0.25;

  /** Callers keep to their hosts, so a host keeps a share for a while without requests. */
  private static final Duration MAX_IDLE = Duration.ofSeconds(30);

  private static final Duration MIN_IDLE = Duration.ofSeconds(1);

  /** Changes of the idle time while there is too little for all hosts, and while there is not. */
  private static final double IDLE_DECREASE = 0.97;

  private static final double IDLE_INCREASE = 1.005;

  private final Map<HostId, Holder> holders = new HashMap<>();
  private final SpentLog spent;
  private double totalWeight;
  private long weighedNanos;
  private double heldRate;
  private double heldBurst;
  private double silentRate;
  private Share reportedAtStart = Share.NONE;
  private double allowance = 1;
  private double unitsPerSecond;
  private long maxIdleNanos = MAX_IDLE.toNanos();

  /** A host's share, and what it held before until it has confirmed the share. */
  private static final class Holder {
    private Share confirmed = Share.NONE;
    private Share issued = Share.NONE;
    private double weight;
    private long weighedNanos;
    private long lastDemandNanos;
    private boolean isSilent;

    /** Issued by an earlier coordinator, and kept until it is known what others hold. */
    private Share takenOver = Share.NONE;

    Share mayHold() {
      return confirmed.max(issued);
    }
  }

  SharePool(long nowNanos) {
    this.spent = new SpentLog(nowNanos);
    this.weighedNanos = nowNanos;
  }

  /** Takes over a share that an earlier coordinator issued. */
  void takeOver(HostId host, Share share, long nowNanos) {
    Holder holder = holder(host, nowNanos);
    if (holder.mayHold().isNone()) {
      set(holder, share, Share.NONE);
      holder.takenOver = share;
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

  /** Records demand. */
  void demanded(HostId host, ShareDemand demand, long nowNanos) {
    decayTotal(nowNanos);
    allowance = demand.allowance();
    unitsPerSecond = demand.unitsPerSecond();
    // A host that returns from a partition states all that it spent meanwhile.
    spent.add(Math.min(demand.spent(), allowance), nowNanos);
    Holder holder = holder(host, nowNanos);
    holder.weight = decayed(holder.weight, holder.weighedNanos, nowNanos) + demand.asked();
    holder.weighedNanos = nowNanos;
    holder.lastDemandNanos = nowNanos;
    totalWeight += demand.asked();
  }

  /**
   * Returns the change of a host's share, or nothing if it stays.
   *
   * @param shortage what the host's bucket lacks, in units
   * @param earlier what is not known about the time before
   */
  Optional<ShareOffer> offer(HostId host, double shortage, EarlierShares earlier, long nowNanos) {
    Holder holder = holders.get(host);
    if (holder == null) {
      return Optional.empty();
    }
    decayTotal(nowNanos);
    Share before = holder.issued;
    double free = free(earlier, nowNanos);
    Share target = target(holder, free, nowNanos);
    Share next =
        earlier.held().isNone()
            ? limitToFree(holder, target, free, earlier)
            : holder.takenOver.max(limitToFree(holder, target, free, earlier));
    if (!isClose(before, next)) {
      set(holder, holder.confirmed, next);
    }
    double raised = Math.max(0, holder.issued.burst() - before.burst());
    double lacking = Math.min(shortage / allowance + raised, holder.issued.burst());
    double tokens = lacking > 0 && free(earlier, nowNanos) >= 0 ? lacking : 0;
    return tokens == 0 && holder.issued.equals(before)
        ? Optional.empty()
        : Optional.of(new ShareOffer(holder.issued, tokens));
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
    set(holder, holder.issued, holder.issued);
    if (holder.issued.isNone()) {
      remove(host);
      return false;
    }
    return true;
  }

  /** Sets whether a host has not reported for a while. */
  void setSilent(HostId host, boolean isSilent) {
    Holder holder = holders.get(host);
    if (holder != null && holder.isSilent != isSilent) {
      holder.isSilent = isSilent;
      silentRate += (isSilent ? 1 : -1) * holder.mayHold().rate();
    }
  }

  /** Ends the share of a host, because its lease has expired. */
  void remove(HostId host) {
    Holder holder = holders.get(host);
    if (holder != null) {
      setSilent(host, false);
      set(holder, Share.NONE, Share.NONE);
      totalWeight -= decayed(holder.weight, holder.weighedNanos, weighedNanos);
      holders.remove(host);
    }
  }

  /** Returns whether the pool says no more than a new one. */
  boolean isIdle(long nowNanos) {
    return holders.isEmpty() && spent.isEmpty(nowNanos);
  }

  /** Returns the units of the allowance that are neither spent nor held; negative if too many. */
  private double free(EarlierShares earlier, long nowNanos) {
    double reportingRate = Math.max(0, heldRate - silentRate) * unitsPerSecond;
    double otherRate = (silentRate + earlier.held().rate()) * unitsPerSecond;
    return allowance * (1 - heldBurst - earlier.held().burst())
        - otherRate * WINDOW.toSeconds()
        - earlier.spent(allowance, unitsPerSecond, reportedAtStart)
        - spent.mostInWindow(reportingRate, nowNanos);
  }

  private Share target(Holder holder, double free, long nowNanos) {
    if (nowNanos - holder.lastDemandNanos > maxIdleNanos) {
      return Share.NONE;
    }
    double weight = decayed(holder.weight, holder.weighedNanos, nowNanos);
    double byDemand = totalWeight > 0 ? Math.min(1, Math.max(0, weight / totalWeight)) : 0;
    double demandRate = weight / DEMAND_TIME_CONSTANT.toSeconds();
    double rate =
        weight >= MIN_UNITS_FOR_RATE
            ? Math.min(1, Math.min(demandRate / unitsPerSecond, MAX_LEASED_RATE * byDemand))
            : 0;
    double raisedRate = Math.max(0, rate - holder.mayHold().rate()) * unitsPerSecond;
    double leased =
        Math.max(
            0, LEASED_ALLOWANCE * (free + heldBurst * allowance - raisedRate * WINDOW.toSeconds()));
    double equal = 1.0 / holders.size();
    double burst =
        Math.max(1, leased * (BURST_BY_DEMAND * byDemand + (1 - BURST_BY_DEMAND) * equal));
    return new Share(rate, Math.min(1, burst / allowance));
  }

  /**
   * Reduces a target to what is free. Returns no share if less than one unit would fit into its
   * bucket, because such a bucket never admits a request.
   */
  private Share limitToFree(Holder holder, Share target, double free, EarlierShares earlier) {
    Share held = holder.mayHold();
    double perRate = Math.max(1, unitsPerSecond) * WINDOW.toSeconds();
    double freeRate = Math.max(0, 1 - earlier.held().rate() - heldRate + held.rate());
    double affordable = held.rate() + Math.max(0, free) / perRate;
    double rate = Math.min(target.rate(), Math.min(freeRate, affordable));
    double left = Math.max(0, free - Math.max(0, rate - held.rate()) * perRate);
    double burst = Math.min(target.burst(), held.burst() + left / allowance);
    boolean isShort = !target.isNone() && burst < 1 / allowance;
    adaptIdleTime(isShort);
    return isShort || target.isNone() ? Share.NONE : new Share(rate, burst);
  }

  /** Hosts without recent demand give their shares up earlier while others lack them. */
  private void adaptIdleTime(boolean isShort) {
    double factor = isShort ? IDLE_DECREASE : IDLE_INCREASE;
    maxIdleNanos =
        Math.max(MIN_IDLE.toNanos(), Math.min(MAX_IDLE.toNanos(), (long) (maxIdleNanos * factor)));
  }

  private static boolean isClose(Share issued, Share next) {
    return next.isNone() == issued.isNone()
        && Math.abs(issued.rate() - next.rate()) <= MIN_RELATIVE_CHANGE * issued.rate()
        && Math.abs(issued.burst() - next.burst()) <= MIN_RELATIVE_CHANGE * issued.burst();
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

  private void set(Holder holder, Share confirmed, Share issued) {
    Share before = holder.mayHold();
    holder.confirmed = confirmed;
    holder.issued = issued;
    Share after = holder.mayHold();
    heldRate += after.rate() - before.rate();
    heldBurst += after.burst() - before.burst();
    silentRate += holder.isSilent ? after.rate() - before.rate() : 0;
  }

  private void decayTotal(long nowNanos) {
    totalWeight = decayed(totalWeight, weighedNanos, nowNanos);
    weighedNanos = nowNanos;
  }

  private static double decayed(double weight, long sinceNanos, long nowNanos) {
    return weight * Math.exp((sinceNanos - nowNanos) / (double) DEMAND_TIME_CONSTANT.toNanos());
  }
}
