package org.catkinlift.ranges;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Records until when each upstream may hold keys, from all grants that may have reached it.
 *
 * <p>A hold belongs to the destination of a grant, not to an incarnation or a fencing token: a
 * restarted upstream accepts a grant that was meant for its earlier incarnation, and an upstream
 * that gets the same keys under another token still has the earlier grant. Only a confirmed release
 * or the passing of time ends a hold. Confined to the control thread.
 */
final class PossibleHolds {
  /** The call id of holds by grants of an earlier coordinator; lower than any call id. */
  private static final long EARLIER_COORDINATOR = 0;

  /** The expiry of a grant whose call has not ended, so that it may still arrive. */
  private static final long AFTER_CALL = Long.MAX_VALUE;

  private final Map<GrantDestination, List<Hold>> holds = new HashMap<>();

  /** One grant that may have reached its destination. */
  private record Hold(long callId, KeyRange range, long expiryNanos) {

    boolean isCallInFlight() {
      return expiryNanos == AFTER_CALL;
    }

    Hold withExpiry(long newExpiryNanos) {
      return new Hold(callId, range, newExpiryNanos);
    }

    /** Returns whether an earlier grant adds nothing to this one, so that it may be forgotten. */
    boolean replaces(Hold earlier) {
      return callId > earlier.callId
          && range.contains(earlier.range)
          && expiryNanos >= earlier.expiryNanos;
    }

    /** Returns what is left of this hold without some keys. */
    Stream<Hold> without(KeyRange released) {
      return range.minus(released).stream().map(r -> new Hold(callId, r, expiryNanos));
    }
  }

  /** Forgets all holds. */
  void clear() {
    holds.clear();
  }

  /** Records that grants of an earlier coordinator may have reached a destination. */
  void grantedByEarlierCoordinator(GrantDestination to, KeyRange range, long expiryNanos) {
    add(to, new Hold(EARLIER_COORDINATOR, range, expiryNanos));
  }

  /**
   * Records the start of a grant call. The destination may hold the keys until the call has ended,
   * and from then on until the grant has expired.
   *
   * @param callId identifies the call; higher than the identifiers of all earlier calls
   */
  void grantStarted(long callId, GrantDestination to, KeyRange range) {
    add(to, new Hold(callId, range, AFTER_CALL));
  }

  private void add(GrantDestination to, Hold hold) {
    holds.computeIfAbsent(to, t -> new ArrayList<>()).add(hold);
  }

  /**
   * Records the end of a grant call that was answered or given up, and has arrived by now if ever.
   *
   * @param expiryNanos the time at which a grant that arrives now has expired
   */
  void grantCallEnded(long callId, GrantDestination to, long expiryNanos) {
    List<Hold> own = holdsOf(to);
    own.replaceAll(h -> h.callId() == callId ? h.withExpiry(expiryNanos) : h);
    own.stream()
        .filter(h -> h.callId() == callId)
        .findFirst()
        .ifPresent(ended -> own.removeIf(ended::replaces));
  }

  /** Records that a grant call did not reach its destination; earlier grants stay in effect. */
  void grantNotSent(long callId, GrantDestination to) {
    holdsOf(to).removeIf(h -> h.callId() == callId);
  }

  /**
   * Records that a destination confirmed a release. Grants that were sent after the release stay in
   * effect.
   *
   * @param releaseCallId the identifier of the release call
   * @param from the destination
   * @param range the released keys
   */
  void released(long releaseCallId, GrantDestination from, KeyRange range) {
    List<Hold> remaining =
        holdsOf(from).stream()
            .flatMap(h -> h.callId() < releaseCallId ? h.without(range) : Stream.of(h))
            .toList();
    holds.put(from, new ArrayList<>(remaining));
  }

  /**
   * Returns when the last hold of a destination expires, or empty if there is none. Grants whose
   * call has not ended do not count.
   */
  OptionalLong expiryNanos(GrantDestination of, KeyRange range) {
    return overlapping(of, range)
        .filter(h -> !h.isCallInFlight())
        .mapToLong(Hold::expiryNanos)
        .max();
  }

  /** Returns whether a destination may hold some of the keys. */
  boolean mayHold(GrantDestination destination, KeyRange range, long nowNanos) {
    return overlapping(destination, range).anyMatch(h -> h.expiryNanos() >= nowNanos);
  }

  /** Returns whether a grant of some of the keys is on its way to a destination. */
  boolean isGrantInFlight(GrantDestination to, KeyRange range) {
    return overlapping(to, range).anyMatch(Hold::isCallInFlight);
  }

  private Stream<Hold> overlapping(GrantDestination destination, KeyRange range) {
    return holdsOf(destination).stream().filter(h -> h.range().overlaps(range));
  }

  /** Returns the holds of a destination, or a new list that is not part of the record yet. */
  private List<Hold> holdsOf(GrantDestination destination) {
    return holds.getOrDefault(destination, new ArrayList<>());
  }

  /** Removes the holds that have expired. */
  void removeExpired(long nowNanos) {
    for (Iterator<List<Hold>> lists = holds.values().iterator(); lists.hasNext(); ) {
      List<Hold> own = lists.next();
      own.removeIf(h -> h.expiryNanos() < nowNanos);
      if (own.isEmpty()) {
        lists.remove();
      }
    }
  }
}
