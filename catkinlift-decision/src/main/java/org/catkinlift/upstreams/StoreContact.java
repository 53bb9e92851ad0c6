package org.catkinlift.upstreams;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether the store had an outage in which entries of running upstreams may have expired.
 *
 * <p>One failed call does not show an outage: only the connection may be faulty. There was an
 * outage if this daemon had no contact with the store for {@link #MIN_OUTAGE}, and if a call of
 * this daemon or of the coordinator failed in that time. Contact is a response of the store to any
 * call of this daemon, or an update of a coordinator that had a response recently. Confined to the
 * control thread.
 */
final class StoreContact {
  /**
   * The shortest outage in which entries can expire. An upstream has to miss several heartbeats,
   * and the first and the last of these intervals may lie partly outside of the outage.
   */
  static final Duration MIN_OUTAGE = Duration.ofMillis(1_500);

  private OptionalLong lastContactNanos = OptionalLong.empty();
  private boolean callFailed;

  /**
   * Records contact with the store.
   *
   * @param age how long ago the store responded
   * @param coordinatorSawOutage whether the coordinator reports an outage that has just ended
   * @param nowNanos the current time
   * @return the length of the outage that has ended; zero if there was none
   */
  Duration established(Duration age, boolean coordinatorSawOutage, long nowNanos) {
    Duration gap = sinceContact(nowNanos);
    boolean isOutage = (callFailed || coordinatorSawOutage) && gap.compareTo(MIN_OUTAGE) >= 0;
    long contactNanos = nowNanos - age.toNanos();
    if (lastContactNanos.isEmpty() || contactNanos > lastContactNanos.getAsLong()) {
      lastContactNanos = OptionalLong.of(contactNanos);
    }
    callFailed = false;
    return isOutage ? gap : Duration.ZERO;
  }

  /** Records that a call to the store failed. */
  void callFailed() {
    callFailed = true;
  }

  /**
   * Returns the time up to which the state of the store is known.
   *
   * @param nowNanos the current time
   * @return the time of the last contact if a call has failed since, otherwise the current time
   */
  long knownUntilNanos(long nowNanos) {
    return callFailed ? lastContactNanos.orElse(nowNanos) : nowNanos;
  }

  /** Before the first contact nothing is known that could be kept, so the time is zero. */
  private Duration sinceContact(long nowNanos) {
    return Duration.ofNanos(nowNanos - lastContactNanos.orElse(nowNanos));
  }
}
