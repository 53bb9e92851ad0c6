package org.catkinlift.gateway.store;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.RangeAction;

/**
 * Sends key grants and releases to upstreams. Nothing is sent once this daemon has lost the
 * coordinator role, however long the sending takes, and even if it holds the role again. Confined
 * to the control thread.
 */
public interface KeyGrants {

  /**
   * Grants a range of keys to an upstream or renews the grant. The call arrives before its callback
   * runs, or not at all.
   *
   * @param grant the grant
   * @param roleHeld whether this daemon still holds the coordinator role in the same term
   * @param callback receives the result of the call
   */
  void grant(RangeAction.Grant grant, BooleanSupplier roleHeld, Consumer<GrantResult> callback);

  /**
   * Releases a range of keys from an upstream. The call completes when the upstream has finished
   * all work on them.
   *
   * @param release the release
   * @param roleHeld whether this daemon still holds the coordinator role in the same term
   * @param callback receives the result of the call
   */
  void release(
      RangeAction.Release release, BooleanSupplier roleHeld, Consumer<GrantResult> callback);
}
