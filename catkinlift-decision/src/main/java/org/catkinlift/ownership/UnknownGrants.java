package org.catkinlift.ownership;

import com.google.common.collect.ImmutableSet;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * Blocks new grants of a restarted coordinator while long grants of its earlier run may be valid.
 *
 * <p>A coordinator that restarts at the end of a platform outage has lost the state of its long
 * grants and of moves that were not yet written to the platform. It grants nothing until every
 * upstream has accepted an empty grant of the new term, which replaces any earlier grant, or until
 * the longest possible grant has certainly expired. An upstream that is no longer configured gets
 * no empty grant; the units that it owned wait until the longest possible grant has expired.
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

  /** Returns whether no earlier long grant can still be valid at any of the upstreams. */
  boolean isOver(ImmutableSet<UpstreamId> upstreams, long nowNanos) {
    over =
        over
            || nowNanos >= untilNanos
            || upstreams.stream()
                .allMatch(u -> grantClient.confirmedDispatcher(u, nowNanos).isPresent());
    return over;
  }

  /** Records a unit whose owner in the assignment of the earlier run is no longer configured. */
  void onRemovedOwner(UpstreamId owner, ServiceName service, int unit, long nowNanos) {
    grantClient.ledger(owner, nowNanos).onGrantedByEarlierRun(service, unit, untilNanos);
  }

  /**
   * Returns the time at which earlier long grants have certainly expired; a past time once none can
   * be valid.
   */
  long latestGrantEnd() {
    return over ? Long.MIN_VALUE : untilNanos;
  }

  /**
   * Returns whether all upstreams answer. Otherwise the empty grants would take the slots from
   * upstreams without ending the wait.
   */
  boolean mayReplace(ImmutableSet<UpstreamId> upstreams, long nowNanos) {
    return upstreams.stream()
        .allMatch(
            u ->
                grantClient.ledger(u, nowNanos).reading().isPresent()
                    && !grantClient.isLost(u, nowNanos));
  }
}
