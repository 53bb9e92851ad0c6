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
 * Tracks who holds a role and, on the holder, the time until which it has authority.
 *
 * <p>The holder has authority while it has the promises of all other voters or a platform lease.
 * Used for the rows {@code cell/<cell>} and {@code takeover/<cell>}.
 */
final class RoleAuthority {
  /** The end of authority if there is no other voter. */
  static final long UNLIMITED = Long.MAX_VALUE / 4;

  /**
   * The end of authority of a daemon that has none, and the time of an answer that was never
   * received.
   */
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

  /**
   * Processes the row as read from the platform; ignores a version that is not newer than the known
   * one.
   */
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

  /**
   * Returns whether the platform has answered at least once, even if only that the row does not
   * exist.
   */
  boolean isObserved() {
    return observed;
  }

  /** Records a term that another daemon has stated. */
  void recordTerm(long term) {
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

  /** Returns whether another daemon knows a later term, so that the row must be read again. */
  boolean isOutdated() {
    return newestTerm > term();
  }

  /** Returns whether this run of the process has acquired the role and has not resigned. */
  boolean isHolder() {
    return !resigned
        && newestTerm == term()
        && row().filter(r -> r.holder().equals(self)).isPresent()
        && row.filter(r -> ids.isOwn(r.requestId())).isPresent();
  }

  /** Returns the time until which this daemon has authority. */
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

  /** Returns whether the promises alone give authority for at least one heartbeat interval. */
  boolean hasAllPromises(long nowNanos) {
    return otherVoters().stream()
        .allMatch(
            v ->
                promisedUntil.getOrDefault(v, NO_AUTHORITY)
                    > nowNanos + timings.heartbeat().toNanos());
  }

  /** Returns the voters of the row as last read from the platform. */
  ImmutableSet<HostId> voters() {
    return row().<ImmutableSet<HostId>>map(CellRow::voters).orElse(ImmutableSet.of());
  }

  /**
   * Returns the other voters whose promises are required, including those of an unconfirmed change
   * of voters.
   */
  ImmutableSet<HostId> otherVoters() {
    return Sets.union(voters(), pendingVoters).stream()
        .filter(v -> !v.equals(self))
        .collect(toImmutableSet());
  }

  /** Sets the voters added by a write whose outcome is unknown; empty once the outcome is known. */
  void setPendingVoters(ImmutableSet<HostId> voters) {
    pendingVoters = voters;
  }

  /** Returns whether a voter or candidate has answered within the given time. */
  boolean hasAnswered(HostId voter, Duration within, long nowNanos) {
    return nowNanos - answeredAt.getOrDefault(voter, NO_AUTHORITY) <= within.toNanos();
  }

  boolean hasPromised(HostId voter, long nowNanos) {
    return promisedUntil.getOrDefault(voter, NO_AUTHORITY) > nowNanos;
  }

  /**
   * Requests promises from voters and candidates.
   *
   * <p>A request that is shorter than an earlier promise ends that promise early, so authority is
   * reduced to the requested time before the request is sent.
   */
  void requestPromises(Set<HostId> hosts, Duration duration, long nowNanos, Outbox out) {
    if (duration.compareTo(requestedDuration) < 0) {
      requestedAt.clear(); // a late answer to a longer request must not extend authority again
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

  /** Extends the platform lease after a successful write of the row. */
  void onRenewed(long sentAt) {
    platformLeaseUntil = Math.max(platformLeaseUntil, sentAt + timings.platformLease().toNanos());
  }

  /**
   * Resigns from the role. Another voter may acquire it once it has received the request for a
   * promise of zero length.
   */
  void resign(long nowNanos, Outbox out) {
    requestPromises(otherVoters(), Duration.ZERO, nowNanos, out);
    resigned = true;
  }
}
