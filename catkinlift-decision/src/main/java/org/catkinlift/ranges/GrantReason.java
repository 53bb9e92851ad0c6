package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;

/** Why a coordinator sends a grant. */
public sealed interface GrantReason {

  /**
   * The holder gets the keys for the first time under this fencing token.
   *
   * @param endedHolds the previous holders, and why none of them holds the keys any more
   */
  record FirstGrant(ImmutableList<EndedHold> endedHolds) implements GrantReason {}

  /** The holder has the keys already. */
  record Renewal() implements GrantReason {}
}
