package org.catkinlift.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.control.PeerMessage.Promise;
import org.catkinlift.control.PeerMessage.PromiseRequest;

/**
 * Keeps the promises that this daemon gave as a voter.
 *
 * <p>Each promise says that this daemon does not take a role for some time. The book counts every
 * promise longer by the clock margin than its receiver does.
 */
final class PromiseRegistry {
  /** A holder asks every 250 ms, so a promise of 1 s with this rest has missed one request. */
  private static final long EXPIRING_SOON_NANOS = 600_000_000L;

  private final OwnershipTimings timings;
  private final Map<String, Entry> entries = new HashMap<>();
  private final long startedNanos;
  private boolean longPromiseRuledOut;

  private record Entry(long term, long sequence, long untilNanos, boolean resigned) {}

  PromiseRegistry(OwnershipTimings timings, long startedNanos) {
    this.timings = timings;
    this.startedNanos = startedNanos;
  }

  /**
   * Notes the term of a row, so that requests of earlier holders get no promise. A row that does
   * not exist yet has term 0, and is known from then on.
   */
  void observeTerm(String row, long term) {
    Entry entry = entry(row);
    if (term > entry.term || !entries.containsKey(row)) {
      entries.put(row, new Entry(term, 0, entry.untilNanos, entry.resigned));
    }
  }

  /**
   * Answers a request.
   *
   * <p>Until the row's newest term has been read or for {@code promise} after the start, it
   * promises nothing: an earlier run may have promised or even taken the role.
   *
   * @param platformReachable whether this daemon reaches the platform; if so it gives no long
   *     promise, because it could take the role
   */
  Promise promise(PromiseRequest request, boolean platformReachable, long nowNanos) {
    Entry entry = entry(request.row());
    boolean termKnown = entries.containsKey(request.row());
    if (!termKnown || request.term() < entry.term || !isStartupWaitOver(nowNanos)) {
      return answer(request, Duration.ZERO, entry.term);
    }
    boolean repeated = request.term() == entry.term && request.sequence() <= entry.sequence;
    if (repeated) {
      return answer(request, Duration.ZERO, entry.term);
    }
    Duration requested = request.duration();
    Duration promised = platformReachable ? min(requested, timings.promise()) : requested;
    long until =
        Math.max(
            nowNanos + timings.plusClockMargin(promised),
            Math.min(entry.untilNanos, nowNanos + timings.plusClockMargin(requested)));
    entries.put(
        request.row(), new Entry(request.term(), request.sequence(), until, requested.isZero()));
    return answer(request, promised, request.term());
  }

  /**
   * Tells whether the latest holder gave the role up early. Its grants and leases may then last for
   * a lease from now; otherwise they ended before the promise did.
   */
  boolean wasResigned(String row) {
    return entry(row).resigned;
  }

  /** Tells whether no request has renewed the promise for some time, or there is none. */
  boolean expiresSoon(String row, long nowNanos) {
    return allowsAcquisition(row, nowNanos + EXPIRING_SOON_NANOS);
  }

  /** Tells whether this daemon may take the role as far as its promises go. */
  boolean allowsAcquisition(String row, long nowNanos) {
    return isStartupWaitOver(nowNanos) && nowNanos > entry(row).untilNanos;
  }

  /**
   * Tells whether an earlier run of this process cannot have left a long promise behind.
   *
   * @param longPromise the longest promise that it may have given
   */
  boolean isLongPromiseRuledOut(Duration longPromise, long nowNanos) {
    return longPromiseRuledOut || nowNanos - startedNanos > timings.plusClockMargin(longPromise);
  }

  /** Notes that the holder has shown, since the start of this run, that it wants short promises. */
  void ruleOutLongPromise() {
    longPromiseRuledOut = true;
  }

  private boolean isStartupWaitOver(long nowNanos) {
    return nowNanos - startedNanos > timings.plusClockMargin(timings.promise());
  }

  private Entry entry(String row) {
    return entries.getOrDefault(row, new Entry(0, 0, Long.MIN_VALUE, false));
  }

  private static Promise answer(PromiseRequest request, Duration promised, long newestTerm) {
    return new Promise(request.row(), request.term(), request.sequence(), promised, newestTerm);
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
