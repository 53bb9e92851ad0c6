package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Promise;
import org.catkinlift.control.PeerMessage.PromiseRequest;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue.CellRow;
import org.catkinlift.model.HostId;

/**
 * Knows who holds a role and, on its holder, until when this daemon may use it.
 *
 * <p>The holder has authority while it has the promises of all other voters or a lease of the
 * platform. Used for the rows {@code cell/<cell>} and {@code takeover/<cell>}.
 */
final class RoleAuthority {
  /** The end of an authority that no other daemon can take. */
  static final long UNLIMITED = Long.MAX_VALUE / 4;

  /** The end of an authority that does not exist. */
  static final long NO_AUTHORITY = Long.MIN_VALUE / 4;

  private static final int MAX_TRACKED_REQUESTS = 64;

  private final String rowName;
  private final HostId self;
  private final OwnershipTimings timings;
  private final RequestIds ids;
  private final PromiseRegistry promises;
  private final Map<HostId, Long> promisedUntil = new HashMap<>();
  private final Map<HostId, Long> answeredAt = new HashMap<>();
  private final TreeMap<Long, Long> requestedAt = new TreeMap<>();
  private Optional<Row> row = Optional.empty();
  private ImmutableSet<HostId> pendingVoters = ImmutableSet.of();
  private Duration requestedDuration = Duration.ZERO;
  private long unchangedSince;
  private long sequence;
  private long platformLeaseUntil = NO_AUTHORITY;
  private long newestTerm;
  private boolean resigned;
  private boolean observed;

  RoleAuthority(
      String rowName,
      HostId self,
      OwnershipTimings timings,
      RequestIds ids,
      PromiseRegistry promises) {
    this.rowName = rowName;
    this.self = self;
    this.timings = timings;
    this.ids = ids;
    this.promises = promises;
  }

  String rowName() {
    return rowName;
  }

  /** Takes over what the platform returned; an older version than the known one is ignored. */
  void observe(Optional<Row> read, long nowNanos) {
    observed = true;
    long version = read.map(Row::version).orElse(0L);
    if (version < version() || (version == version() && row.isPresent())) {
      return;
    }
    long previousTerm = term();
    row = read;
    unchangedSince = nowNanos;
    newestTerm = Math.max(newestTerm, term());
    promises.observeTerm(rowName, term());
    if (term() > previousTerm) {
      promisedUntil.clear();
      requestedAt.clear();
      platformLeaseUntil = NO_AUTHORITY;
      resigned = false;
    }
  }

  /** Tells whether the platform has answered at least once, be it that there is no row. */
  boolean isObserved() {
    return observed;
  }

  /** Notes a term that another daemon knows of. */
  void noteTerm(long term) {
    newestTerm = Math.max(newestTerm, term);
  }

  Optional<CellRow> row() {
    return row.map(r -> (CellRow) r.value());
  }

  long version() {
    return row.map(Row::version).orElse(0L);
  }

  long term() {
    return row().map(CellRow::term).orElse(0L);
  }

  long unchangedSince() {
    return unchangedSince;
  }

  /** Tells whether a voter knows a later term, so that the row must be read again. */
  boolean isOutdated() {
    return newestTerm > term();
  }

  /** Tells whether this run of the process took the role and has not given it up. */
  boolean isHolder() {
    return !resigned
        && newestTerm == term()
        && row().filter(r -> r.holder().equals(self)).isPresent()
        && row.filter(r -> ids.isOwn(r.requestId())).isPresent();
  }

  /** Returns until when this daemon may use the role. */
  long authorityUntil(long nowNanos) {
    if (!isHolder() || !promises.allowsAcquisition(rowName, nowNanos)) {
      return NO_AUTHORITY;
    }
    long promised =
        otherVoters().stream()
            .mapToLong(v -> promisedUntil.getOrDefault(v, NO_AUTHORITY))
            .min()
            .orElse(UNLIMITED);
    return Math.max(promised, platformLeaseUntil);
  }

  boolean hasAuthority(long nowNanos) {
    return authorityUntil(nowNanos) > nowNanos;
  }

  /** Tells whether the promises alone give authority for some time to come. */
  boolean hasAllPromises(long nowNanos) {
    return otherVoters().stream()
        .allMatch(
            v ->
                promisedUntil.getOrDefault(v, NO_AUTHORITY)
                    > nowNanos + timings.heartbeat().toNanos());
  }

  /** The voters of the row as the platform last showed it. */
  ImmutableSet<HostId> voters() {
    return row().<ImmutableSet<HostId>>map(CellRow::voters).orElse(ImmutableSet.of());
  }

  /** The voters whose promises count, those of an unconfirmed change of voters included. */
  ImmutableSet<HostId> otherVoters() {
    return Sets.union(voters(), pendingVoters).stream()
        .filter(v -> !v.equals(self))
        .collect(toImmutableSet());
  }

  /** Counts voters of a write whose effect is not yet known; an empty set once it is known. */
  void setPendingVoters(ImmutableSet<HostId> voters) {
    pendingVoters = voters;
  }

  /** Tells whether a voter or candidate has answered within a time. */
  boolean hasAnswered(HostId voter, Duration within, long nowNanos) {
    return nowNanos - answeredAt.getOrDefault(voter, NO_AUTHORITY) <= within.toNanos();
  }

  boolean hasPromised(HostId voter, long nowNanos) {
    return promisedUntil.getOrDefault(voter, NO_AUTHORITY) > nowNanos;
  }

  /**
   * Asks voters and candidates for promises.
   *
   * <p>A request that is shorter than an earlier promise ends that promise early, so authority is
   * cut to the requested time before the request leaves.
   */
  void requestPromises(Set<HostId> hosts, Duration duration, long nowNanos, Outbox out) {
    if (duration.compareTo(requestedDuration) < 0) {
      requestedAt.clear(); // a late answer to a longer request must not lengthen authority again
    }
    requestedDuration = duration;
    promisedUntil.replaceAll((h, until) -> Math.min(until, nowNanos + duration.toNanos()));
    requestedAt.put(++sequence, nowNanos);
    if (requestedAt.size() > MAX_TRACKED_REQUESTS) {
      requestedAt.pollFirstEntry();
    }
    hosts.forEach(h -> out.send(h, new PromiseRequest(rowName, term(), sequence, duration)));
  }

  void onPromise(HostId from, Promise promise, long nowNanos) {
    newestTerm = Math.max(newestTerm, promise.newestTerm());
    Long sentAt = requestedAt.get(promise.sequence());
    if (promise.term() != term() || sentAt == null) {
      return;
    }
    answeredAt.put(from, nowNanos);
    if (promise.duration().isPositive()) {
      promisedUntil.merge(from, sentAt + promise.duration().toNanos(), Math::max);
    }
  }

  /** Counts a renewal of the row that took effect. */
  void onRenewed(long sentAt) {
    platformLeaseUntil = Math.max(platformLeaseUntil, sentAt + timings.platformLease().toNanos());
  }

  /** Gives the role up; another voter may take it as soon as the zero promise reaches it. */
  void resign(long nowNanos, Outbox out) {
    requestPromises(otherVoters(), Duration.ZERO, nowNanos, out);
    resigned = true;
  }
}
