package org.catkinlift.shares;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * What a host reports about its shares.
 *
 * @param <K> the type that names a bounded amount
 * @param state the state of its shares
 * @param demand the demand since its last report; amounts without demand are left out
 * @param held the shares that it holds; left out if the coordinator that it reports to issued them
 */
public record ShareReport<K>(
    ShareState state, ImmutableMap<K, ShareDemand> demand, ImmutableMap<K, Share> held) {

  /**
   * Returns a report without demand of a host without shares.
   *
   * @param <K> the type that names a bounded amount
   * @return the report
   */
  public static <K> ShareReport<K> empty() {
    return new ShareReport<>(ShareState.NONE, ImmutableMap.of(), ImmutableMap.of());
  }

  /**
   * Returns whether a report without this part says the same.
   *
   * @return true if the host neither has shares nor needs any
   */
  public boolean isEmpty() {
    return state.equals(ShareState.NONE) && demand.isEmpty();
  }

  /**
   * Returns a report of the same state without demand.
   *
   * @return the report
   */
  public ShareReport<K> withoutDemand() {
    return new ShareReport<>(state, ImmutableMap.of(), held);
  }

  /**
   * Returns a later report with the demand of this one added.
   *
   * @param later the later report
   * @return the report
   */
  public ShareReport<K> followedBy(ShareReport<K> later) {
    if (demand.isEmpty()) {
      return later;
    }
    Map<K, ShareDemand> sum = new HashMap<>(demand);
    later.demand.forEach((key, added) -> sum.merge(key, added, ShareDemand::plus));
    return new ShareReport<>(later.state, ImmutableMap.copyOf(sum), later.held);
  }
}
