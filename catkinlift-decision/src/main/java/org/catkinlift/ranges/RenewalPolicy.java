package org.catkinlift.ranges;

import java.time.Duration;

/**
 * Decides how long grants last and how often they are renewed, by the number of ranges. Each
 * renewal is a call, so with many ranges they are renewed less often and last longer. The price is
 * that the keys of a lost upstream wait longer for the end of its grants.
 *
 * @param maxDuration the longest grant that upstreams accept
 */
record RenewalPolicy(Duration maxDuration) {
  /** Bounds the processor time and the connections that renewals take. */
  private static final int MAX_RENEWALS_PER_SECOND = 400;

  private static final Duration MIN_INTERVAL = Duration.ofMillis(1_300);
  private static final Duration MIN_DURATION = Duration.ofSeconds(5);

  /** Time for a renewal that gets no answer, the delay after it, and another renewal. */
  private static final Duration RETRY_TIME =
      RangeAction.MAX_DELIVERY_DELAY.multipliedBy(2).plusMillis(500);

  /** Returns the time from a confirmed grant to its renewal. */
  Duration interval(int ranges) {
    Duration paced = Duration.ofSeconds(ranges).dividedBy(MAX_RENEWALS_PER_SECOND);
    return min(max(MIN_INTERVAL, paced), maxDuration.minus(RETRY_TIME));
  }

  /** Returns how long a grant lasts while the store is available. */
  Duration duration(int ranges) {
    return min(max(MIN_DURATION, interval(ranges).plus(RETRY_TIME)), maxDuration);
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) <= 0 ? a : b;
  }
}
