package org.catkinlift.gateway.store;

import java.util.function.Consumer;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.RangeAction;

/** Tells upstreams which keys they hold. Used on the control thread. */
public interface KeyGrants {

  /**
   * Grants keys or renews their grant.
   *
   * @param grant the grant
   * @param callback takes how the call ended
   */
  void grant(RangeAction.Grant grant, Consumer<GrantResult> callback);

  /**
   * Takes keys back. The result arrives when the work on them has ended.
   *
   * @param release the release
   * @param callback takes how the call ended
   */
  void release(RangeAction.Release release, Consumer<GrantResult> callback);
}
