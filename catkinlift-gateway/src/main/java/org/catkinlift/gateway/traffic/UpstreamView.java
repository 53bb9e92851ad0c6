package org.catkinlift.gateway.traffic;

import java.util.OptionalLong;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * An upstream and its leaving state, as published to the traffic thread.
 *
 * @param upstream the directory record of the upstream
 * @param leavingSinceNanos when this daemon learned that the upstream is leaving, in monotonic
 *     nanoseconds
 * @param cutOffNanos until when requests for held keys, and those that wait already, may be sent to
 *     a leaving upstream, in monotonic nanoseconds
 */
public record UpstreamView(
    UpstreamRecord upstream, OptionalLong leavingSinceNanos, OptionalLong cutOffNanos) {

  /**
   * Returns the view of an upstream that gets requests without restriction.
   *
   * @param upstream the directory record of the upstream
   * @return the view
   */
  public static UpstreamView inService(UpstreamRecord upstream) {
    return new UpstreamView(upstream, OptionalLong.empty(), OptionalLong.empty());
  }

  /**
   * Returns whether the upstream gets requests without restriction.
   *
   * @return false once it is known to be leaving
   */
  public boolean acceptsNewWork() {
    return leavingSinceNanos.isEmpty();
  }

  /**
   * Returns whether the upstream may get requests for keys that it still holds.
   *
   * @param nowNanos the current time
   * @return false from the cut-off time of a leaving upstream on
   */
  public boolean mayServeHeldKeys(long nowNanos) {
    return cutOffNanos.isEmpty() || nowNanos < cutOffNanos.getAsLong();
  }
}
