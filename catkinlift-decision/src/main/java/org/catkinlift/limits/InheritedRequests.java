package org.catkinlift.limits;

import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;

/**
 * The requests that previous dispatchers left at the upstream, as stated in the release of the last
 * of them.
 *
 * @param epoch the epoch of the released lease
 * @param running the number of requests that the upstream may be executing or may still start
 * @param latestStartNanos the time after which none of them can start any more
 * @param latestEndNanos the time after which all of them have passed their deadline
 */
record InheritedRequests(Epoch epoch, int running, long latestStartNanos, long latestEndNanos) {

  static InheritedRequests of(DispatchRelease release, long nowNanos) {
    return new InheritedRequests(
        release.epoch(),
        release.running(),
        nowNanos + release.startsWithin().toNanos(),
        nowNanos + release.endsWithin().toNanos());
  }

  /**
   * Returns the tighter bounds of two releases of the same lease, so that a repeated or reordered
   * release does not extend the wait.
   */
  InheritedRequests min(InheritedRequests other) {
    if (!other.epoch.equals(epoch)) {
      return this;
    }
    return new InheritedRequests(
        epoch,
        Math.min(running, other.running),
        Math.min(latestStartNanos, other.latestStartNanos),
        Math.min(latestEndNanos, other.latestEndNanos));
  }

  InheritedRequests withReported(int requests) {
    return new InheritedRequests(
        epoch, Math.min(running, requests), latestStartNanos, latestEndNanos);
  }

  int runningAt(long nowNanos) {
    return nowNanos < latestEndNanos ? running : 0;
  }
}
