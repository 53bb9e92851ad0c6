package org.catkinlift.ranges;

import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * One life of an upstream, as the holder of keys.
 *
 * @param upstream the upstream
 * @param startedMillis when this life began; tells lives under one id apart
 * @param address where it takes grants
 */
public record Holder(UpstreamId upstream, long startedMillis, NetworkAddress address) {

  /**
   * Returns the holder that a record describes.
   *
   * @param upstream what the upstream states about itself
   * @return the holder
   */
  public static Holder of(UpstreamRecord upstream) {
    return new Holder(upstream.id(), upstream.startedMillis(), upstream.address());
  }

  /**
   * Tells whether a record proves that this life has ended: the same upstream, or another one at
   * the same address, began later.
   *
   * @param upstream what some upstream states about itself
   * @return true if this life can hold no keys any more
   */
  public boolean isSupersededBy(UpstreamRecord upstream) {
    boolean sameIdOrAddress =
        upstream.id().equals(this.upstream) || upstream.address().equals(address);
    return sameIdOrAddress && upstream.startedMillis() > startedMillis;
  }
}
