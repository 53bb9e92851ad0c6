package org.catkinlift.shares;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;

/**
 * The answer to a {@link ShareReport}. It renews all shares that the host holds of the same issuer
 * and changes some of them.
 *
 * @param <K> the type that names a bounded amount
 * @param state the state of the host's shares once it has applied the grant
 * @param lease how long the shares last, from when the host sent its report
 * @param replacesAll whether shares that are not in the grant end
 * @param offers the shares that change
 */
public record ShareGrant<K>(
    ShareState state, Duration lease, boolean replacesAll, ImmutableMap<K, ShareOffer> offers) {

  /**
   * Returns a grant that says nothing, for hosts without shares.
   *
   * @param <K> the type that names a bounded amount
   * @return the grant
   */
  public static <K> ShareGrant<K> none() {
    return new ShareGrant<>(ShareState.NONE, Duration.ZERO, false, ImmutableMap.of());
  }

  /**
   * Returns whether the grant says nothing.
   *
   * @return true if there is nothing to apply
   */
  public boolean isNone() {
    return state.equals(ShareState.NONE);
  }
}
