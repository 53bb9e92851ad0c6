package org.catkinlift.ranges;

import java.util.Optional;

/** How a call to an upstream about keys ended. */
public sealed interface GrantResult {

  /**
   * The upstream did what the call said.
   *
   * @param handover what the next holder of released keys is to be told
   */
  record Done(Optional<String> handover) implements GrantResult {}

  /** The upstream has seen a higher fencing token. */
  record Outdated() implements GrantResult {}

  /** The upstream cannot have received the call. */
  record NotSent() implements GrantResult {}

  /** The upstream may have received the call, now or later. */
  record Unanswered() implements GrantResult {}
}
