package org.catkinlift.gateway.store;

import java.util.function.Consumer;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.RangeAction;

/** Sends key grants and releases to upstreams. Confined to the control thread. */
public interface KeyGrants {

  /**
   * Grants a range of keys to an upstream or renews the grant. The call arrives within {@link
   * RangeAction#MAX_DELIVERY_DELAY} or not at all.
   *
   * @param grant the grant
   * @param callback receives the result of the call
   */
  void grant(RangeAction.Grant grant, Consumer<GrantResult> callback);

  /**
   * Releases a range of keys from an upstream. The call completes when the upstream has finished
   * all work on them.
   *
   * @param release the release
   * @param callback receives the result of the call
   */
  void release(RangeAction.Release release, Consumer<GrantResult> callback);
}
