package org.catkinlift.ranges;

import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * One incarnation of an upstream as the holder of keys.
 *
 * @param upstream the upstream
 * @param startedMillis when this incarnation started; distinguishes incarnations with the same id
 * @param address the address at which it accepts grants
 */
public record Holder(UpstreamId upstream, long startedMillis, NetworkAddress address) {

  /** Returns the holder that corresponds to a record published by an upstream. */
  public static Holder of(UpstreamRecord upstream) {
    return new Holder(upstream.id(), upstream.startedMillis(), upstream.address());
  }

  /**
   * Returns where grants for this holder are sent, which does not tell incarnations of the upstream
   * apart.
   */
  GrantDestination destination() {
    return new GrantDestination(upstream, address);
  }
}
