package org.catkinlift.limits;

import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;

/**
 * What earlier dispatchers left at the upstream, as the last of them said in its release.
 *
 * @param epoch the lease that was released
 * @param running the requests that may still be executed
 * @param startsUntilNanos when none of them starts any more
 * @param endsAtNanos when all of them have passed their deadline
 */
record EarlierWork(Epoch epoch, int running, long startsUntilNanos, long endsAtNanos) {

  static EarlierWork of(DispatchRelease release, long nowNanos) {
    return new EarlierWork(
        release.epoch(),
        release.running(),
        nowNanos + release.startsWithin().toNanos(),
        nowNanos + release.endsWithin().toNanos());
  }

  /** Combines two releases of one lease; a repeated or late one does not lengthen the wait. */
  EarlierWork lowest(EarlierWork other) {
    if (!other.epoch.equals(epoch)) {
      return this;
    }
    return new EarlierWork(
        epoch,
        Math.min(running, other.running),
        Math.min(startsUntilNanos, other.startsUntilNanos),
        Math.min(endsAtNanos, other.endsAtNanos));
  }

  EarlierWork reported(int requests) {
    return new EarlierWork(epoch, Math.min(running, requests), startsUntilNanos, endsAtNanos);
  }

  int runningAt(long nowNanos) {
    return nowNanos < endsAtNanos ? running : 0;
  }
}
