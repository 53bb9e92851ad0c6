package org.catkinlift.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.control.PeerMessage.Promise;
import org.catkinlift.control.PeerMessage.PromiseRequest;

/**
 * Records the promises that this daemon has given as a voter.
 *
 * <p>A promise states that this daemon will not acquire a role for a given time. The voter extends
 * every promise by the clock margin, so that it lasts longer here than at its receiver.
 */
final class PromiseRegistry {
  /**
   * A holder renews promises of 1 s every 250 ms, so at this remaining time at least one request is
   * missing.
   */
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
   * Records the term of a row, so that requests of earlier holders get no promise. A row that does
   * not exist yet has term 0 and counts as read.
   */
  void observeTerm(String row, long term) {
    Entry entry = entry(row);
    if (term > entry.term || !entries.containsKey(row)) {
      entries.put(row, new Entry(term, 0, entry.untilNanos, entry.resigned));
    }
  }

  /**
   * Answers a promise request.
   *
   * <p>The answer promises nothing until the row's latest term has been read, nor during the first
   * {@link OwnershipTimings#promise} after the start, because an earlier run of this process may
   * have given a promise or acquired the role.
   *
   * @param platformReachable whether this daemon reaches the platform; if so, it gives no long
   *     promise, because it is able to acquire the role
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
   * Returns whether the latest holder has resigned. Its grants and dispatch leases may then remain
   * valid for a full lease from now; otherwise they expired before the promise.
   */
  boolean wasResigned(String row) {
    return entry(row).resigned;
  }

  /** Returns whether the promise has not been renewed for some time or does not exist. */
  boolean expiresSoon(String row, long nowNanos) {
    return allowsAcquisition(row, nowNanos + EXPIRING_SOON_NANOS);
  }

  /** Returns whether this daemon's own promises allow it to acquire the role. */
  boolean allowsAcquisition(String row, long nowNanos) {
    return isStartupWaitOver(nowNanos) && nowNanos > entry(row).untilNanos;
  }

  /**
   * Returns whether no long promise of an earlier run of this process can still be valid.
   *
   * @param longPromise the longest promise that an earlier run may have given
   */
  boolean isLongPromiseRuledOut(Duration longPromise, long nowNanos) {
    return longPromiseRuledOut || nowNanos - startedNanos > timings.plusClockMargin(longPromise);
  }

  /**
   * Records that the holder has requested a short promise since the start of this run, which ends
   * any long promise of an earlier run.
   */
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
