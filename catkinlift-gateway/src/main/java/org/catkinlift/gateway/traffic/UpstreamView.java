package org.catkinlift.gateway.traffic;

import java.util.OptionalLong;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * One upstream as the traffic thread sees it.
 *
 * @param upstream what it states about itself
 * @param leavingSinceNanos when this daemon learned that it leaves, in monotonic nanoseconds
 * @param cutOffNanos when it must get no more requests, if it leaves
 */
public record UpstreamView(
    UpstreamRecord upstream, OptionalLong leavingSinceNanos, OptionalLong cutOffNanos) {

  /**
   * Tells whether the upstream gets new work of any kind.
   *
   * @return false once it is known to leave
   */
  public boolean acceptsNewWork() {
    return leavingSinceNanos.isEmpty();
  }

  /**
   * Tells whether the upstream may get requests for keys that it still holds.
   *
   * @param nowNanos the time
   * @return false once its time is over
   */
  public boolean mayServeHeldKeys(long nowNanos) {
    return cutOffNanos.isEmpty() || nowNanos < cutOffNanos.getAsLong();
  }
}
