package org.catkinlift.ranges;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Until when each upstream may hold keys, by all grants that may have reached it.
 *
 * <p>A hold belongs to the destination of a grant, not to an incarnation or a fencing token: a
 * restarted upstream accepts a grant that was meant for its earlier incarnation, and an upstream
 * that gets the same keys under another token still has the earlier grant. Only a confirmed release
 * or the passing of time ends a hold. Confined to the control thread.
 */
final class PossibleHolds {
  /** The call id of holds by grants of an earlier coordinator; lower than any call id. */
  private static final long EARLIER_COORDINATOR = 0;

  private final Map<GrantDestination, List<Hold>> holds = new HashMap<>();

  /** One grant that may have reached its destination. */
  private record Hold(long callId, KeyRange range, long expiryNanos, boolean callInFlight) {

    boolean mayBeEffective(long nowNanos) {
      return callInFlight || expiryNanos >= nowNanos;
    }

    Hold answered(long newExpiryNanos) {
      return new Hold(callId, range, Math.min(expiryNanos, newExpiryNanos), false);
    }

    Hold unanswered() {
      return new Hold(callId, range, expiryNanos, false);
    }

    /** Returns whether another hold has ended by the time that this one ends. */
    boolean outlasts(Hold other) {
      return callId > other.callId
          && !other.callInFlight
          && range.contains(other.range)
          && expiryNanos >= other.expiryNanos;
    }

    /** Returns what is left of this hold without some keys. */
    Stream<Hold> without(KeyRange released) {
      return range.minus(released).stream()
          .map(r -> new Hold(callId, r, expiryNanos, callInFlight));
    }
  }

  /** Forgets all holds. */
  void clear() {
    holds.clear();
  }

  /** Records that grants of an earlier coordinator may have reached a destination. */
  void grantedByEarlierCoordinator(GrantDestination to, KeyRange range, long expiryNanos) {
    add(to, new Hold(EARLIER_COORDINATOR, range, expiryNanos, false));
  }

  /**
   * Records the start of a grant call.
   *
   * @param callId identifies the call; higher than the identifiers of all earlier calls
   * @param to the destination
   * @param range the granted keys
   * @param expiryNanos the time at which the grant has expired, however late it arrives
   */
  void grantStarted(long callId, GrantDestination to, KeyRange range, long expiryNanos) {
    add(to, new Hold(callId, range, expiryNanos, true));
  }

  private void add(GrantDestination to, Hold hold) {
    holds.computeIfAbsent(to, t -> new ArrayList<>()).add(hold);
  }

  /**
   * Records that a grant call was answered, which bounds the time of its arrival.
   *
   * @param expiryNanos the time at which a grant that arrives now has expired
   */
  void grantAnswered(long callId, GrantDestination to, long expiryNanos) {
    List<Hold> own = holdsOf(to);
    own.replaceAll(h -> h.callId() == callId ? h.answered(expiryNanos) : h);
    own.stream()
        .filter(h -> h.callId() == callId)
        .findFirst()
        .ifPresent(answered -> own.removeIf(answered::outlasts));
  }

  /** Records that a grant call ended without an answer; the grant may have arrived. */
  void grantUnanswered(long callId, GrantDestination to) {
    List<Hold> own = holdsOf(to);
    own.replaceAll(h -> h.callId() == callId ? h.unanswered() : h);
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

  /** Returns when the last hold of a destination on some keys expires, or empty without a hold. */
  OptionalLong expiryNanos(GrantDestination of, KeyRange range) {
    return overlapping(of, range).mapToLong(Hold::expiryNanos).max();
  }

  /** Returns whether a destination may hold some of the keys. */
  boolean mayHold(GrantDestination destination, KeyRange range, long nowNanos) {
    return overlapping(destination, range).anyMatch(h -> h.mayBeEffective(nowNanos));
  }

  /** Returns whether any other destination may hold some of the keys. */
  boolean mayBeHeldByOthers(GrantDestination self, KeyRange range, long nowNanos) {
    return holds.keySet().stream().anyMatch(d -> !d.equals(self) && mayHold(d, range, nowNanos));
  }

  /** Returns whether a grant of some of the keys is on its way to a destination. */
  boolean isGrantInFlight(GrantDestination to, KeyRange range) {
    return overlapping(to, range).anyMatch(Hold::callInFlight);
  }

  private Stream<Hold> overlapping(GrantDestination destination, KeyRange range) {
    return holdsOf(destination).stream().filter(h -> h.range().overlaps(range));
  }

  /** Returns the holds of a destination; an empty list is not attached to it. */
  private List<Hold> holdsOf(GrantDestination destination) {
    return holds.getOrDefault(destination, new ArrayList<>());
  }

  /** Removes the holds that have expired. */
  void removeExpired(long nowNanos) {
    for (Iterator<List<Hold>> lists = holds.values().iterator(); lists.hasNext(); ) {
      List<Hold> own = lists.next();
      own.removeIf(h -> !h.mayBeEffective(nowNanos));
      if (own.isEmpty()) {
        lists.remove();
      }
    }
  }
}
