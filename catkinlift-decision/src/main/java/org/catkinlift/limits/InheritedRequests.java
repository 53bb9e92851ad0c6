package org.catkinlift.limits;

import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;

/**
 * What earlier dispatchers left at the upstream, as the last of them said in its release.
 *
 * @param epoch the lease that was released
 * @param running the requests that may still be executed
 * @param latestStartNanos when none of them starts any more
 * @param latestEndNanos when all of them have passed their deadline
 */
record InheritedRequests(Epoch epoch, int running, long latestStartNanos, long latestEndNanos) {

  static InheritedRequests of(DispatchRelease release, long nowNanos) {
    return new InheritedRequests(
        release.epoch(),
        release.running(),
        nowNanos + release.startsWithin().toNanos(),
        nowNanos + release.endsWithin().toNanos());
  }

  /** Combines two releases of one lease; a repeated or late one does not lengthen the wait. */
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
