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
final class PromiseBook {
  /** A holder asks every 250 ms, so a promise of 1 s with this rest has missed one request. */
  private static final long ENDS_SOON_NANOS = 600_000_000L;

  private final OwnershipTimings timings;
  private final Map<String, Entry> entries = new HashMap<>();
  private final long startedNanos;
  private boolean longPromiseExcluded;

  private record Entry(long term, long sequence, long untilNanos, boolean resigned) {}

  PromiseBook(OwnershipTimings timings, long startedNanos) {
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
    boolean known = entries.containsKey(request.row());
    if (!known || request.term() < entry.term || !isStartOver(nowNanos)) {
      return answer(request, Duration.ZERO, entry.term);
    }
    boolean repeated = request.term() == entry.term && request.sequence() <= entry.sequence;
    if (repeated) {
      return answer(request, Duration.ZERO, entry.term);
    }
    Duration wanted = request.duration();
    Duration given = platformReachable ? min(wanted, timings.promise()) : wanted;
    long until =
        Math.max(
            nowNanos + timings.withMargin(given),
            Math.min(entry.untilNanos, nowNanos + timings.withMargin(wanted)));
    entries.put(
        request.row(), new Entry(request.term(), request.sequence(), until, wanted.isZero()));
    return answer(request, given, request.term());
  }

  /**
   * Tells whether the latest holder gave the role up early. Its grants and leases may then last for
   * a lease from now; otherwise they ended before the promise did.
   */
  boolean wasResigned(String row) {
    return entry(row).resigned;
  }

  /** Tells whether no request has renewed the promise for some time, or there is none. */
  boolean endsSoon(String row, long nowNanos) {
    return isFree(row, nowNanos + ENDS_SOON_NANOS);
  }

  /** Tells whether this daemon may take the role as far as its promises go. */
  boolean isFree(String row, long nowNanos) {
    return isStartOver(nowNanos) && nowNanos > entry(row).untilNanos;
  }

  /**
   * Tells whether an earlier run of this process cannot have left a long promise behind.
   *
   * @param longPromise the longest promise that it may have given
   */
  boolean isLongPromiseExcluded(Duration longPromise, long nowNanos) {
    return longPromiseExcluded || nowNanos - startedNanos > timings.withMargin(longPromise);
  }

  /** Notes that the holder has shown, since the start of this run, that it wants short promises. */
  void excludeLongPromise() {
    longPromiseExcluded = true;
  }

  private boolean isStartOver(long nowNanos) {
    return nowNanos - startedNanos > timings.withMargin(timings.promise());
  }

  private Entry entry(String row) {
    return entries.getOrDefault(row, new Entry(0, 0, Long.MIN_VALUE, false));
  }

  private static Promise answer(PromiseRequest request, Duration given, long newestTerm) {
    return new Promise(request.row(), request.term(), request.sequence(), given, newestTerm);
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
