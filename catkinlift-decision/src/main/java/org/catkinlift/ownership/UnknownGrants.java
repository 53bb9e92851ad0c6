package org.catkinlift.ownership;

import com.google.common.collect.ImmutableSet;
import org.catkinlift.model.UpstreamId;

/**
 * Holds a restarted coordinator back while long grants of its earlier run may be in force.
 *
 * <p>A coordinator that restarts at the end of a platform outage has forgotten its long grants and
 * moves that were not written. It grants nothing until every upstream has accepted an empty grant
 * of the new term, which replaces any earlier one, or until the longest grant has surely ended.
 */
final class UnknownGrants {
  private final UpstreamGrantClient grantClient;
  private final long untilNanos;
  private boolean over;

  private UnknownGrants(UpstreamGrantClient grantClient, long untilNanos) {
    this.grantClient = grantClient;
    this.untilNanos = untilNanos;
  }

  static UnknownGrants until(UpstreamGrantClient grantClient, long untilNanos) {
    return new UnknownGrants(grantClient, untilNanos);
  }

  /** Tells whether an earlier long grant can no longer be in force at any of the upstreams. */
  boolean isOver(ImmutableSet<UpstreamId> upstreams, long nowNanos) {
    over =
        over
            || nowNanos >= untilNanos
            || upstreams.stream()
                .allMatch(u -> grantClient.confirmedDispatcher(u, nowNanos).isPresent());
    return over;
  }

  /** Returns when earlier long grants have surely ended; a past time once none can be in force. */
  long latestGrantEnd() {
    return over ? Long.MIN_VALUE : untilNanos;
  }

  /** Tells whether all upstreams answer, so that the empty grants will not stop one for nothing. */
  boolean mayReplace(ImmutableSet<UpstreamId> upstreams, long nowNanos) {
    return upstreams.stream()
        .allMatch(
            u ->
                grantClient.ledger(u, nowNanos).reading().isPresent()
                    && !grantClient.isLost(u, nowNanos));
  }
}
