package org.catkinlift.shares;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.catkinlift.model.HostId;

/**
 * Leases shares of bounded amounts to hosts, on the coordinator. What a host may hold counts until
 * the host has confirmed a change or its lease has expired, whether or not the host can be reached.
 * Confined to one thread.
 *
 * <p>A grant is repeated until the host has confirmed it, and only then followed by another, so
 * that a lost answer changes nothing.
 *
 * @param <K> the type that names a bounded amount
 */
public final class ShareLedger<K> {
  /**
   * How long a share lasts after the report that it answers. It covers a partition of 5.5 s with
   * the time between two reports and that of an answer.
   */
  public static final Duration LEASE = Duration.ofSeconds(7);

  /** Covers clocks of two hosts that differ by 2 % in their rate. */
  private static final Duration EXPIRY_MARGIN = LEASE.dividedBy(50);

  /** After this time all hosts that run and can be reached have reported to a new coordinator. */
  private static final Duration FIRST_REPORTS = Duration.ofMillis(600);

  /** Reserved while all hosts that report have just started; covers a cut-off availability zone. */
  private static final Share RESERVED_AFTER_RESTART = new Share(1.0 / 3, 1.0 / 3);

  /** The window of the bound, and one report. */
  private static final Duration WINDOW_AND_REPORT = Duration.ofMillis(5_500);

  private static final Share ALL = new Share(1, 1);
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

  /** A host that has not reported for this time counts with all that it may have spent. */
  private static final Duration SILENCE = Duration.ofMillis(600);

  private final long issuer;
  private final long startNanos;
  private final Map<K, SharePool> pools = new HashMap<>();
  private final Map<HostId, Lease> leases = new HashMap<>();
  private boolean earlierSharesSeen;
  private long sweptNanos;
  private long lastSequence;

  /** The shares of a host. */
  private final class Lease {
    private final Set<K> keys = new HashSet<>();
    private ShareGrant<K> pending =
        new ShareGrant<>(new ShareState(issuer, 0), LEASE, true, ImmutableMap.of());
    private boolean isConfirmed = true;
    private long reportedNanos;
    private boolean isSilent;
  }

  /**
   * Creates a ledger for a host that takes the coordinator role.
   *
   * @param issuer a number other than 0 that no other ledger has
   * @param nowNanos the current time
   */
  public ShareLedger(long issuer, long nowNanos) {
    this.issuer = issuer;
    this.startNanos = nowNanos;
    this.sweptNanos = nowNanos;
  }

  /**
   * Records a host's report and returns the answer.
   *
   * @param host the host
   * @param report the report
   * @param nowNanos the current time
   * @return the grant; {@link ShareGrant#none()} for a host without shares
   */
  public ShareGrant<K> reportReceived(HostId host, ShareReport<K> report, long nowNanos) {
    sweep(nowNanos);
    if (report.isEmpty() && !leases.containsKey(host)) {
      return ShareGrant.none();
    }
    Lease lease = leases.computeIfAbsent(host, h -> new Lease());
    lease.reportedNanos = nowNanos;
    setSilent(host, lease, false);
    boolean hasEarlierShares =
        report.state().issuer() != issuer && !report.state().equals(ShareState.NONE);
    earlierSharesSeen |= hasEarlierShares;
    if (hasEarlierShares && report.held().isEmpty()) {
      // The host states what it holds in its next report, because the issuer differs.
      return new ShareGrant<>(new ShareState(issuer, 0), Duration.ZERO, false, ImmutableMap.of());
    }
    takeOver(host, lease, report, nowNanos);
    report
        .demand()
        .forEach(
            (key, demand) -> {
              lease.keys.add(key);
              pool(key, nowNanos).demanded(host, demand, nowNanos);
            });
    if (report.state().equals(lease.pending.state())) {
      confirm(host, lease);
    }
    if (lease.keys.isEmpty() && lease.isConfirmed) {
      leases.remove(host);
      return ShareGrant.none();
    }
    if (report.state().issuer() == issuer) {
      return lease.isConfirmed ? nextGrant(host, lease, report, nowNanos) : lease.pending;
    }
    return lease.isConfirmed || !lease.pending.replacesAll()
        ? wholeGrant(host, lease, report, nowNanos)
        : lease.pending;
  }

  private void takeOver(HostId host, Lease lease, ShareReport<K> report, long nowNanos) {
    if (report.state().issuer() == issuer) {
      return;
    }
    report
        .held()
        .forEach(
            (key, share) -> {
              lease.keys.add(key);
              pool(key, nowNanos).takeOver(host, share, nowNanos);
            });
  }

  private void confirm(HostId host, Lease lease) {
    if (lease.isConfirmed) {
      return;
    }
    lease.isConfirmed = true;
    Iterable<K> changed =
        lease.pending.replacesAll()
            ? List.copyOf(lease.keys)
            : List.copyOf(lease.pending.offers().keySet());
    for (K key : changed) {
      SharePool pool = pools.get(key);
      if (pool == null || !pool.confirmed(host)) {
        lease.keys.remove(key);
      }
    }
  }

  private ShareGrant<K> nextGrant(HostId host, Lease lease, ShareReport<K> report, long nowNanos) {
    ImmutableMap<K, ShareOffer> offers = offers(host, lease, report, nowNanos);
    if (!offers.isEmpty()) {
      issue(lease, false, offers);
      return lease.pending;
    }
    return new ShareGrant<>(lease.pending.state(), LEASE, false, ImmutableMap.of());
  }

  /** Returns all shares of a host that holds none of this ledger. */
  private ShareGrant<K> wholeGrant(HostId host, Lease lease, ShareReport<K> report, long nowNanos) {
    Map<K, ShareOffer> all = new HashMap<>();
    for (K key : lease.keys) {
      Share issued = pool(key, nowNanos).issued(host);
      if (!issued.isNone()) {
        all.put(key, new ShareOffer(issued, 0));
      }
    }
    all.putAll(offers(host, lease, report, nowNanos));
    issue(lease, true, ImmutableMap.copyOf(all));
    return lease.pending;
  }

  private ImmutableMap<K, ShareOffer> offers(
      HostId host, Lease lease, ShareReport<K> report, long nowNanos) {
    ImmutableMap.Builder<K, ShareOffer> offers = ImmutableMap.builder();
    for (K key : lease.keys) {
      ShareDemand demand = report.demand().get(key);
      pool(key, nowNanos)
          .offer(host, demand == null ? 0 : demand.shortage(), earlier(key, nowNanos), nowNanos)
          .ifPresent(offer -> offers.put(key, offer));
    }
    return offers.buildOrThrow();
  }

  private void issue(Lease lease, boolean replacesAll, ImmutableMap<K, ShareOffer> offers) {
    lastSequence++;
    var state = new ShareState(issuer, lastSequence);
    lease.pending = new ShareGrant<>(state, LEASE, replacesAll, offers);
    lease.isConfirmed = false;
  }

  private EarlierShares earlier(K key, long nowNanos) {
    long age = nowNanos - startNanos;
    if (age > LEASE.plus(EXPIRY_MARGIN).toNanos()) {
      return EarlierShares.NONE;
    }
    double windowPart = Math.max(0, 1 - (double) age / WINDOW_AND_REPORT.toNanos());
    return new EarlierShares(unreportedShares(key, age, nowNanos), windowPart, earlierSharesSeen);
  }

  /** Returns what hosts that have not reported to this ledger may hold of an earlier one. */
  private Share unreportedShares(K key, long ageNanos, long nowNanos) {
    if (!earlierSharesSeen) {
      return ageNanos > FIRST_REPORTS.toNanos() ? RESERVED_AFTER_RESTART : ALL;
    }
    Share reported = pool(key, nowNanos).reportedAtStart();
    return new Share(1 - reported.rate(), 1 - reported.burst());
  }

  private SharePool pool(K key, long nowNanos) {
    return pools.computeIfAbsent(key, k -> new SharePool(nowNanos));
  }

  private void sweep(long nowNanos) {
    if (nowNanos - sweptNanos < SWEEP_INTERVAL.toNanos()) {
      return;
    }
    sweptNanos = nowNanos;
    List<HostId> expired = new ArrayList<>();
    leases.forEach(
        (host, lease) -> {
          long silentNanos = nowNanos - lease.reportedNanos;
          if (silentNanos > LEASE.plus(EXPIRY_MARGIN).toNanos()) {
            expired.add(host);
          } else if (silentNanos > SILENCE.toNanos()) {
            setSilent(host, lease, true);
          }
        });
    for (HostId host : expired) {
      for (K key : leases.remove(host).keys) {
        pool(key, nowNanos).remove(host);
      }
    }
    pools.values().removeIf(pool -> pool.isIdle(nowNanos));
  }

  private void setSilent(HostId host, Lease lease, boolean isSilent) {
    if (lease.isSilent != isSilent) {
      lease.isSilent = isSilent;
      lease.keys.stream()
          .map(pools::get)
          .filter(Objects::nonNull)
          .forEach(pool -> pool.setSilent(host, isSilent));
    }
  }

  /**
   * Returns the number of hosts that may hold shares.
   *
   * @return the number
   */
  public int holders() {
    return leases.size();
  }
}
